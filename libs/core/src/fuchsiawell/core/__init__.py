"""Shared vocabulary: identifiers, clocks, deadlines, outcomes, logs."""

from __future__ import annotations

from fuchsiawell.core.clock import Clock, ManualClock, SystemClock
from fuchsiawell.core.deadline import Deadline
from fuchsiawell.core.errors import FuchsiawellError
from fuchsiawell.core.headers import Header, RefusalCause, ServerPath
from fuchsiawell.core.ids import (
    CellName,
    DaemonId,
    IdSource,
    RandomIds,
    RequestId,
    SeededIds,
    ServerId,
    ServiceName,
    ShardId,
    shard_of,
)
from fuchsiawell.core.lamport import LamportClock
from fuchsiawell.core.logs import EventLog, open_event_log
from fuchsiawell.core.outcome import Answered, NotRun, NotRunReason, Outcome, Step, Unknown

__all__ = [
    "Answered",
    "CellName",
    "Clock",
    "DaemonId",
    "Deadline",
    "EventLog",
    "FuchsiawellError",
    "Header",
    "IdSource",
    "LamportClock",
    "ManualClock",
    "NotRun",
    "NotRunReason",
    "Outcome",
    "RandomIds",
    "RefusalCause",
    "RequestId",
    "SeededIds",
    "ServerId",
    "ServerPath",
    "ServiceName",
    "ShardId",
    "Step",
    "SystemClock",
    "Unknown",
    "open_event_log",
    "shard_of",
]
