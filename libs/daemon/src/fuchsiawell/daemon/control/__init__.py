"""The control plane: membership, the controller's decisions, leadership of servers."""

from __future__ import annotations

from fuchsiawell.daemon.control.control import Control

__all__ = ["Control"]
