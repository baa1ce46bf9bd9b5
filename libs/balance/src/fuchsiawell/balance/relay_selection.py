"""Choice of the daemon through which a daemon that reaches no server sends its requests."""

from __future__ import annotations

from bisect import bisect
from dataclasses import dataclass
from itertools import accumulate
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

__all__ = ["RelayCandidate", "RelaySelector"]

# Weight of daemons in the own zone, relative to others of the same capacity.
OWN_ZONE_WEIGHT = 3.0
# Least weight of a daemon, so that none is left out for good.
MIN_WEIGHT = 0.01
# Draws that may hit daemons that are to be avoided before the others are listed one by one.
MAX_DRAWS = 8
# After a daemon was unavailable, those that served a request within this time are preferred.
SERVED_LATELY_S = 2.0
# Where no other daemon is left, an unavailable one is asked again after this time.
MIN_AVOIDANCE_S = 0.25


@dataclass(frozen=True)
class RelayCandidate:
    """A daemon that may be asked to send requests to servers."""

    name: str
    zone: str
    capacity_cores: float


class RelaySelector:
    """Draw daemons at random by capacity, those of the own zone more often."""

    def __init__(self, zone: str, random: Random) -> None:
        self._zone = zone
        self._random = random
        self._names: list[str] = []
        self._weights: dict[str, float] = {}
        self._cumulative_weights: list[float] = []
        # Daemons that were unavailable, until when they are not asked, and since when.
        self._avoided_until_s: dict[str, float] = {}
        self._avoided_since_s: dict[str, float] = {}
        # Daemons that may not serve a request, and until when they are asked last.
        self._doubtful_until_s: dict[str, float] = {}
        self._served_s: dict[str, float] = {}

    def set_candidates(self, candidates: Sequence[RelayCandidate]) -> None:
        """Replace the daemons to draw from."""
        self._names = [candidate.name for candidate in candidates]
        self._weights = {
            candidate.name: max(MIN_WEIGHT, candidate.capacity_cores)
            * (OWN_ZONE_WEIGHT if candidate.zone == self._zone else 1.0)
            for candidate in candidates
        }
        self._cumulative_weights = list(accumulate(self._weights.values()))
        for by_name in (
            self._avoided_until_s,
            self._avoided_since_s,
            self._doubtful_until_s,
            self._served_s,
        ):
            for name in by_name.keys() - self._weights.keys():
                del by_name[name]

    def select(self, asked: Collection[str], now_s: float) -> str | None:
        """Return a daemon other than those `asked` for the same request, None if none is left."""
        if asked:
            lately = [
                name
                for name, served_s in self._served_s.items()
                if now_s - served_s < SERVED_LATELY_S and self._is_usable(name, asked, now_s)
            ]
            if lately:
                return self._draw(lately)
        if not self._names:
            return None
        for _ in range(MAX_DRAWS):
            position = self._random.random() * self._cumulative_weights[-1]
            index = min(bisect(self._cumulative_weights, position), len(self._names) - 1)
            if self._is_usable(self._names[index], asked, now_s):
                return self._names[index]
        usable = [name for name in self._names if self._is_usable(name, asked, now_s)]
        if not usable:
            usable = [name for name in self._names if self._is_available(name, asked, now_s)]
        if not usable:
            usable = [name for name in self._names if self._may_have_returned(name, asked, now_s)]
        return self._draw(usable) if usable else None

    def record_served(self, name: str, now_s: float) -> None:
        """Record that a daemon has served a request, or given a final answer to it."""
        self._avoided_until_s.pop(name, None)
        self._doubtful_until_s.pop(name, None)
        self._served_s[name] = now_s

    def record_unavailable(self, name: str, now_s: float, avoid_s: float) -> None:
        """Do not ask a daemon for `avoid_s`, or only if no other is left."""
        self._avoided_until_s[name] = now_s + avoid_s
        self._avoided_since_s[name] = now_s
        self._served_s.pop(name, None)

    def record_doubtful(self, name: str, since_s: float, now_s: float, avoid_s: float) -> None:
        """Ask a daemon only if no other is left, unless it has served a request after `since_s`."""
        if self._served_s.get(name, since_s) <= since_s:
            self._doubtful_until_s[name] = now_s + avoid_s

    def _draw(self, names: list[str]) -> str:
        return self._random.choices(names, [self._weights[name] for name in names])[0]

    def _is_usable(self, name: str, asked: Collection[str], now_s: float) -> bool:
        return self._is_available(name, asked, now_s) and (
            self._doubtful_until_s.get(name, now_s) <= now_s
        )

    def _is_available(self, name: str, asked: Collection[str], now_s: float) -> bool:
        return name not in asked and self._avoided_until_s.get(name, now_s) <= now_s

    def _may_have_returned(self, name: str, asked: Collection[str], now_s: float) -> bool:
        avoided_s = now_s - self._avoided_since_s.get(name, now_s)
        return name not in asked and avoided_s >= MIN_AVOIDANCE_S
