"""Client side of the platform's key-value service and host list."""

from __future__ import annotations

from fuchsiawell.platform.backoff import Backoff, BackoffSettings, RetryBudget
from fuchsiawell.platform.budgeted_store import BudgetedStore, CallBudget, StoreMetrics
from fuchsiawell.platform.calls import CallCounts, CallKind
from fuchsiawell.platform.hosts import ENTRY_ROLE, Host, HostList, HostState
from fuchsiawell.platform.http_hosts import HttpHostList
from fuchsiawell.platform.http_store import HttpStore
from fuchsiawell.platform.open_store import OpenedStore, open_store
from fuchsiawell.platform.resolve import resolve_put
from fuchsiawell.platform.retrying_store import RetryingStore
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
from fuchsiawell.platform.token_bucket import TokenBucket
from fuchsiawell.platform.watcher import watch_key

__all__ = [
    "ABSENT",
    "ENTRY_ROLE",
    "MAX_VALUE_BYTES",
    "AnswerLost",
    "Backoff",
    "BackoffSettings",
    "BudgetedStore",
    "CallBudget",
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
    "OpenedStore",
    "Record",
    "RetryBudget",
    "RetryingStore",
    "Revision",
    "Store",
    "StoreError",
    "StoreMetrics",
    "TokenBucket",
    "Unavailable",
    "WriteError",
    "open_store",
    "resolve_put",
    "watch_key",
]
