"""State of a daemon: configuration, servers, peers, requests in flight, metrics, logs."""

from __future__ import annotations
