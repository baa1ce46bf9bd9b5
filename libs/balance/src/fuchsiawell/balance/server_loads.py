"""What backend servers last said of their load, with its age."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.balance.latency_estimates import DECAY_HALF_LIFE_S, SAMPLE_WEIGHT

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["ServerLoad", "ServerLoads"]

# A load is used for this long: slow spells on shared hosts take about as long.
LOAD_TTL_S = 0.4


@dataclass(frozen=True)
class ServerLoad:
    """Requests running and waiting at a server, its slots, and how long work takes there now."""

    running: int
    waiting: int
    slots: int
    # In percent of the usual time; None if the server does not say.
    pace_percent: int | None = None


@dataclass(frozen=True)
class _Record:
    load: ServerLoad
    at_s: float
    # Moving average of the paces, weighted as the samples of a latency factor are.
    average_pace: float = 1.0


class ServerLoads:
    """Keep the last load of each server incarnation."""

    def __init__(self) -> None:
        self._record_by_incarnation: dict[str, _Record] = {}

    def record(self, incarnation_id: str, load: ServerLoad, now_s: float) -> None:
        """Record what a response that has just arrived says."""
        average_pace = self._average_pace(incarnation_id, now_s)
        if load.pace_percent is not None:
            average_pace += SAMPLE_WEIGHT * (load.pace_percent / 100 - average_pace)
        self._record_by_incarnation[incarnation_id] = _Record(load, now_s, average_pace)

    def recent(self, incarnation_id: str, now_s: float) -> ServerLoad | None:
        """Return the load of a server if it is young enough to be used."""
        record = self._record_by_incarnation.get(incarnation_id)
        if record is None or now_s - record.at_s > LOAD_TTL_S:
            return None
        return record.load

    def names_pace(self, incarnation_id: str) -> bool:
        """Return whether a server has named its pace in the last response."""
        record = self._record_by_incarnation.get(incarnation_id)
        return record is not None and record.load.pace_percent is not None

    def pace_correction(self, incarnation_id: str, now_s: float) -> float | None:
        """Return the present pace over the average one that a latency factor has in it.

        None without a recent pace. A server may name its pace relative to its own usual time or to
        that of the route; what it always is cancels out.
        """
        load = self.recent(incarnation_id, now_s)
        if load is None or load.pace_percent is None:
            return None
        return load.pace_percent / 100 / self._average_pace(incarnation_id, now_s)

    def retain(self, incarnation_ids: Collection[str]) -> None:
        """Drop what other incarnations said."""
        self._record_by_incarnation = {
            incarnation_id: record
            for incarnation_id, record in self._record_by_incarnation.items()
            if incarnation_id in incarnation_ids
        }

    def _average_pace(self, incarnation_id: str, now_s: float) -> float:
        record = self._record_by_incarnation.get(incarnation_id)
        if record is None:
            return 1.0
        # Returns to 1 as the latency factor of an unused server does.
        decay = 0.5 ** (max(0.0, now_s - record.at_s) / DECAY_HALF_LIFE_S)
        return float(record.average_pace**decay)
