"""The daemon: session state, request forwarding and control loops."""

from __future__ import annotations
