"""Types that all packages share: identifiers, clocks, deadlines, outcomes and event logs."""

from __future__ import annotations

from fuchsiawell.core.clock import Clock, ManualClock, SystemClock
from fuchsiawell.core.deadline import Deadline
from fuchsiawell.core.errors import FuchsiawellError
from fuchsiawell.core.headers import Header, RefusalCause, ServerPath
from fuchsiawell.core.ids import (
    CellName,
    DaemonId,
    IdGenerator,
    RandomIdGenerator,
    RequestId,
    SeededIdGenerator,
    ServerId,
    ServiceName,
    ShardId,
    shard_of,
)
from fuchsiawell.core.lamport import LamportClock
from fuchsiawell.core.logs import EventLog, open_event_log
from fuchsiawell.core.outcome import (
    NotExecuted,
    NotExecutedReason,
    Outcome,
    OutcomeUnknown,
    Responded,
    Step,
)

__all__ = [
    "CellName",
    "Clock",
    "DaemonId",
    "Deadline",
    "EventLog",
    "FuchsiawellError",
    "Header",
    "IdGenerator",
    "LamportClock",
    "ManualClock",
    "NotExecuted",
    "NotExecutedReason",
    "Outcome",
    "OutcomeUnknown",
    "RandomIdGenerator",
    "RefusalCause",
    "RequestId",
    "Responded",
    "SeededIdGenerator",
    "ServerId",
    "ServerPath",
    "ServiceName",
    "ShardId",
    "Step",
    "SystemClock",
    "open_event_log",
    "shard_of",
]
