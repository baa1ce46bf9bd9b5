"""The daemon's two ways to the platform's store, each with a share of its rates."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Self

from fuchsiawell.platform import CallBudget, open_store

if TYPE_CHECKING:
    from random import Random

    from fuchsiawell.core import Clock
    from fuchsiawell.platform import Store, StoreMetrics

__all__ = ["Stores"]

# Of several hundred writes and 2,000 reads a second for a cell of 12 daemons.
CONTROL_BUDGET = CallBudget(reads_per_s=40.0, writes_per_s=10.0)
WORK_BUDGET = CallBudget(reads_per_s=60.0, writes_per_s=22.0)


@dataclass(frozen=True, slots=True)
class Stores:
    """Hold a client for decisions and one for work, so that neither starves the other."""

    control: Store
    work: Store
    metrics_by_use: dict[str, StoreMetrics]

    @classmethod
    def open(cls, address: str, clock: Clock, random: Random) -> Self:
        """Open both clients to the service at `address`."""
        control = open_store(address, clock, random, CONTROL_BUDGET)
        work = open_store(address, clock, random, WORK_BUDGET)
        metrics = {"control": control.metrics, "work": work.metrics}
        return cls(control.store, work.store, metrics)

    @classmethod
    def single(cls, store: Store) -> Self:
        """Use one client for both, without counts; for tests."""
        return cls(store, store, {})

    def to_json(self) -> dict[str, Any]:
        """Return the counts of calls by use."""
        return {use: _counts(metrics) for use, metrics in self.metrics_by_use.items()}

    async def close(self) -> None:
        """Release connections."""
        await self.control.close()
        if self.work is not self.control:
            await self.work.close()


def _counts(metrics: StoreMetrics) -> dict[str, Any]:
    named = {
        "calls": metrics.calls,
        "over_budget": metrics.over_budget,
        "unavailable": metrics.unavailable,
        "answers_lost": metrics.answers_lost,
    }
    counts = {
        name: {kind.value: count for kind, count in calls.by_kind.items()}
        for name, calls in named.items()
    }
    return {**counts, "waited_s": round(metrics.waited_s, 3)}
