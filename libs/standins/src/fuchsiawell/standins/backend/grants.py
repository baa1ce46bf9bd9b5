"""The grants of a backend server that checks who gives it an order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fuchsiawell.core import Clock

__all__ = ["Accepted", "Fence", "GrantAnswer", "GrantLapsed", "Grants", "HigherTerm"]


@dataclass(frozen=True, slots=True)
class Fence:
    """Hold what a request says of the right under which it was sent."""

    shard: str
    term: int
    epoch: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """Report that the grants were changed as asked."""


@dataclass(frozen=True, slots=True)
class HigherTerm:
    """Report that a leader with a higher term was here before."""

    term: int


@dataclass(frozen=True, slots=True)
class GrantLapsed:
    """Report that there is no grant of this term, or no more."""


GrantAnswer = Accepted | HigherTerm | GrantLapsed


class Grants:
    """Hold the grants of the one leader in force; they lapse by this server's own clock."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._term = 0
        self._lapses_at_s = clock.monotonic()
        self._epoch_by_shard: dict[str, int] = {}

    def install(self, term: int, ttl_s: float, epochs: Mapping[str, int]) -> GrantAnswer:
        """Replace all grants of a lower or the same term."""
        if term < self._term:
            return HigherTerm(self._term)
        self._term = term
        self._epoch_by_shard = dict(epochs)
        self._lapses_at_s = self._clock.monotonic() + ttl_s
        return Accepted()

    def renew(self, term: int, ttl_s: float) -> GrantAnswer:
        """Extend the grants of `term`, unless they lapsed."""
        if term < self._term:
            return HigherTerm(self._term)
        if term > self._term or self._lapsed():
            return GrantLapsed()
        self._lapses_at_s = self._clock.monotonic() + ttl_s
        return Accepted()

    def release(self, term: int, shard: str) -> GrantAnswer:
        """Drop the grant of one shard; nothing of it starts from now on."""
        if term < self._term:
            return HigherTerm(self._term)
        self._epoch_by_shard.pop(shard, None)
        return Accepted()

    def allows(self, fence: Fence | None) -> bool:
        """Tell whether work under `fence` may start now."""
        if fence is None or self._lapsed() or fence.term != self._term:
            return False
        return self._epoch_by_shard.get(fence.shard) == fence.epoch

    def _lapsed(self) -> bool:
        return self._clock.monotonic() >= self._lapses_at_s
