"""Latency factors of servers from the reports of all daemons, combined with bounded weights."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

__all__ = [
    "MAX_DAEMON_SAMPLES",
    "MAX_GROUP_SAMPLES",
    "MIN_SHARED_FACTOR",
    "SHARED_PACE_TTL_S",
    "WEIGHT_HALF_LIFE_S",
    "PaceSamples",
    "SharedPace",
    "SharedPaces",
]

# A shared factor is used for this long after the last report that it rests on.
SHARED_PACE_TTL_S = 3.0
# A report counts in full until its sender's next one is due; daemons combine reports at that
# interval, too, in any order.
FULL_WEIGHT_S = 0.5
# After that the weight halves in this time, so that a change shows after about two reports.
WEIGHT_HALF_LIFE_S = 0.5
# A daemon's weight for one server; a factor that rests on no more may be one daemon's alone.
MAX_DAEMON_SAMPLES = 2
# A group has at most 24 daemons by intent, and some more by chance.
MAX_GROUP_SAMPLES = 32 * MAX_DAEMON_SAMPLES
# A factor counts as at most this many times faster or slower than usual.
MAX_DEVIATION = 5.0
# Smaller factors are not used: if all daemons know the same small differences, they all choose the
# same few servers until the next load reports, and latency rises fivefold (docs/POLICY.md).
MIN_SHARED_FACTOR = 3.0
# With fewer samples, of half-forgotten reports, a factor says nothing.
MIN_SAMPLES = 0.5
# More servers are not taken from reports; a site has less than a fifth of it.
MAX_SERVERS = 2048


@dataclass(frozen=True)
class SharedPace:
    """Latency factor of a server by the samples of several daemons, and when it was combined."""

    latency_factor: float
    samples: float
    updated_at_s: float

    def samples_at(self, now_s: float) -> float:
        """Return the samples that still count."""
        return _decayed(self.samples, now_s - self.updated_at_s)


@dataclass(frozen=True)
class _Row:
    log_factor: float
    samples: float
    at_s: float

    def weight(self, now_s: float) -> float:
        return _decayed(self.samples, now_s - self.at_s - FULL_WEIGHT_S)


class PaceSamples:
    """Sum up a daemon's own samples until its next report."""

    def __init__(self) -> None:
        self._sums: dict[str, tuple[float, int]] = {}

    def add(self, backend_id: str, ratio: float) -> None:
        """Add a response time, relative to the usual one of its route."""
        total, samples = self._sums.get(backend_id, (0.0, 0))
        ratio = min(MAX_DEVIATION, max(1 / MAX_DEVIATION, ratio))
        self._sums[backend_id] = total + math.log(ratio), samples + 1

    def flush(self) -> dict[str, tuple[int, int]]:
        """Return and clear factor (percent) and number of samples by server."""
        rows = {
            backend_id: (round(100 * math.exp(total / samples)), samples)
            for backend_id, (total, samples) in self._sums.items()
        }
        self._sums.clear()
        return rows

    def forget(self, backend_id: str) -> None:
        """Discard the samples of an earlier incarnation."""
        self._sums.pop(backend_id, None)


class SharedPaces:
    """Combine reports as a weighted mean of logarithms."""

    def __init__(self) -> None:
        # By short id of the server, then by source: a daemon, a group, or the total of a hub.
        self._rows_by_server: dict[int, dict[str, _Row]] = {}
        self._shared_by_server: dict[int, SharedPace] = {}

    def __len__(self) -> int:
        """Return the number of servers with a shared factor."""
        return len(self._shared_by_server)

    def get(self, short_id: int, now_s: float) -> SharedPace | None:
        """Return the shared factor of a server; None if there is none or it has expired."""
        shared = self._shared_by_server.get(short_id)
        if shared is None or now_s - shared.updated_at_s > SHARED_PACE_TTL_S:
            return None
        return shared

    def apply(
        self,
        source: str,
        rows: Mapping[int, tuple[int, int]],
        now_s: float,
        max_samples: int = MAX_DAEMON_SAMPLES,
    ) -> None:
        """Take over a report: factor (percent) and samples by short id of the server."""
        for short_id, (percent, samples) in rows.items():
            if short_id not in self._rows_by_server and len(self._rows_by_server) >= MAX_SERVERS:
                continue
            factor = min(MAX_DEVIATION, max(1 / MAX_DEVIATION, percent / 100))
            row = _Row(math.log(factor), min(samples, max_samples), now_s)
            self._rows_by_server.setdefault(short_id, {})[source] = row

    def combined(
        self, now_s: float, sources: Collection[str] | None = None, since_s: float = -math.inf
    ) -> dict[int, tuple[int, int]]:
        """Return rows to report: of all sources or some, for servers with a row since a time."""
        reported = {}
        for short_id, rows in self._rows_by_server.items():
            chosen = [row for s, row in rows.items() if sources is None or s in sources]
            if any(row.at_s >= since_s for row in chosen):
                log_factor, samples = _mean(chosen, now_s)
                if samples >= MIN_SAMPLES:
                    reported[short_id] = round(100 * math.exp(log_factor)), max(1, round(samples))
        return reported

    def refresh(self, now_s: float) -> None:
        """Drop what has expired and combine the rest.

        A factor stays until it expires where the newer reports may be one daemon's alone.
        """
        self._shared_by_server = {
            short_id: shared
            for short_id, shared in self._shared_by_server.items()
            if now_s - shared.updated_at_s <= SHARED_PACE_TTL_S
        }
        for short_id, rows in list(self._rows_by_server.items()):
            for source, row in list(rows.items()):
                if now_s - row.at_s > SHARED_PACE_TTL_S:
                    del rows[source]
            if not rows:
                del self._rows_by_server[short_id]
                continue
            log_factor, samples = _mean(rows.values(), now_s)
            if samples > MAX_DAEMON_SAMPLES:
                newest_s = max(row.at_s for row in rows.values())
                shared = SharedPace(math.exp(log_factor), samples, newest_s)
                self._shared_by_server[short_id] = shared

    def discard_source(self, source: str) -> None:
        """Discard the rows of a source that is no longer used."""
        for rows in self._rows_by_server.values():
            rows.pop(source, None)

    def forget(self, short_id: int) -> None:
        """Discard what is known of an earlier incarnation of a server."""
        self._rows_by_server.pop(short_id, None)
        self._shared_by_server.pop(short_id, None)


def _decayed(samples: float, age_s: float) -> float:
    return samples * math.pow(0.5, max(0.0, age_s) / WEIGHT_HALF_LIFE_S)


def _mean(rows: Collection[_Row], now_s: float) -> tuple[float, float]:
    """Return the weighted mean of the logarithms, and the sum of the weights."""
    weights = [row.weight(now_s) for row in rows]
    total = sum(weights)
    if total <= 0.0:
        return 0.0, 0.0
    logs = (weight * row.log_factor for weight, row in zip(weights, rows, strict=True))
    return sum(logs) / total, total
