"""Receive client requests, forward them to backend servers and return the responses."""

from __future__ import annotations
