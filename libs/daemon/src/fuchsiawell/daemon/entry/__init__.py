"""The entry: accepts callers and forwards each request to the leader of its key."""

from __future__ import annotations

from fuchsiawell.daemon.entry.app import EntryApp
from fuchsiawell.daemon.entry.forward import Forwarder
from fuchsiawell.daemon.entry.server import CallerServer

__all__ = ["CallerServer", "EntryApp", "Forwarder"]
