"""The operators' endpoint: health, status and metrics."""

from __future__ import annotations

from fuchsiawell.daemon.operators.app import OperatorServer, StatusSource

__all__ = ["OperatorServer", "StatusSource"]
