"""The operators' endpoint: health, status and metrics."""

from __future__ import annotations

from fuchsiawell.daemon.operators.app import OperatorServer, StatusSource
from fuchsiawell.daemon.operators.overview import Overview, ServerRow, ServiceRow, overview

__all__ = ["OperatorServer", "Overview", "ServerRow", "ServiceRow", "StatusSource", "overview"]
