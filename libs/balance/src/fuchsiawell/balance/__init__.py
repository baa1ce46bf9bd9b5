"""Which backend server has room; no network, no clock of its own."""

from __future__ import annotations

from fuchsiawell.balance.choice import Candidate, Chooser, expected_s, room
from fuchsiawell.balance.estimates import Estimates
from fuchsiawell.balance.groups import HUBS, GroupMember, divide
from fuchsiawell.balance.loads import Loads, short_id
from fuchsiawell.balance.outliers import Outliers
from fuchsiawell.balance.retry_budget import RetryBudget, RetryRules
from fuchsiawell.balance.suspects import CrashSuspects
from fuchsiawell.balance.waiting import Waiter, WaitingList

__all__ = [
    "HUBS",
    "Candidate",
    "Chooser",
    "CrashSuspects",
    "Estimates",
    "GroupMember",
    "Loads",
    "Outliers",
    "RetryBudget",
    "RetryRules",
    "Waiter",
    "WaitingList",
    "divide",
    "expected_s",
    "room",
    "short_id",
]
