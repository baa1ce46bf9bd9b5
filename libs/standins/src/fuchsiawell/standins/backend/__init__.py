"""A stand-in for the users' backend servers."""

from __future__ import annotations

from fuchsiawell.standins.backend.app import Backend
from fuchsiawell.standins.backend.connections import limited_protocol
from fuchsiawell.standins.backend.executions import (
    Ending,
    Execution,
    ExecutionLog,
    read_executions,
)
from fuchsiawell.standins.backend.settings import BackendSettings, BehaviourModel, HealthMode

__all__ = [
    "Backend",
    "BackendSettings",
    "BehaviourModel",
    "Ending",
    "Execution",
    "ExecutionLog",
    "HealthMode",
    "limited_protocol",
    "read_executions",
]
