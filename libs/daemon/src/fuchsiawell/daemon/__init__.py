"""The daemon: entry, leader and controller in one process."""

from __future__ import annotations

from fuchsiawell.daemon.application import Application
from fuchsiawell.daemon.context import Context
from fuchsiawell.daemon.run import serve

__all__ = ["Application", "Context", "serve"]
