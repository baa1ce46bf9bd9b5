"""The store client of a daemon, put together."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.platform.budgeted_store import BudgetedStore, CallBudget, StoreMetrics
from fuchsiawell.platform.http_store import HttpStore
from fuchsiawell.platform.retrying_store import RetryingStore

if TYPE_CHECKING:
    from random import Random

    from fuchsiawell.core import Clock
    from fuchsiawell.platform.calls import CallCounts
    from fuchsiawell.platform.store import Store

__all__ = ["OpenedStore", "open_store"]


@dataclass(frozen=True, slots=True)
class OpenedStore:
    """Hold a client and what it counts."""

    store: Store
    metrics: StoreMetrics
    retries: CallCounts


def open_store(address: str, clock: Clock, random: Random, budget: CallBudget) -> OpenedStore:
    """Return a client of the service at `address` that keeps to `budget` and repeats reads."""
    budgeted = BudgetedStore(HttpStore(address), clock, budget)
    retrying = RetryingStore(budgeted, random)  # outside, so that retries count too
    return OpenedStore(retrying, budgeted.metrics, retrying.retries)
