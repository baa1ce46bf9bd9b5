"""Client side of the platform's key-value store and host list."""

from __future__ import annotations

from fuchsiawell.platform.calls import CallCounts, CallKind
from fuchsiawell.platform.hosts import ENTRY_ROLE, Host, HostList, HostState
from fuchsiawell.platform.http_hosts import HttpHostList
from fuchsiawell.platform.http_store import HttpStore
from fuchsiawell.platform.store import (
    ABSENT,
    MAX_VALUE_BYTES,
    AnswerLost,
    Conflict,
    LeaseId,
    LeaseLapsed,
    Record,
    Revision,
    Store,
    StoreError,
    Unavailable,
    WriteError,
)

__all__ = [
    "ABSENT",
    "ENTRY_ROLE",
    "MAX_VALUE_BYTES",
    "AnswerLost",
    "CallCounts",
    "CallKind",
    "Conflict",
    "Host",
    "HostList",
    "HostState",
    "HttpHostList",
    "HttpStore",
    "LeaseId",
    "LeaseLapsed",
    "Record",
    "Revision",
    "Store",
    "StoreError",
    "Unavailable",
    "WriteError",
]
