"""The grants of a backend server that checks who gives it an order."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fuchsiawell.core import Clock

__all__ = ["Accepted", "Fence", "GrantAnswer", "GrantLapsed", "Grants", "HigherTerm"]


MS_PER_S = 1000


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
        self._started_ms = self.clock_ms
        self._term = 0
        self._last_call = 0
        self._runs_until_s = inf
        self._lapses_at_s = clock.monotonic()
        self._epoch_by_shard: dict[str, int] = {}
        self._releasing: dict[str, int] = {}  # epochs of shards whose work is still to end

    @property
    def clock_ms(self) -> int:
        """Return this server's clock, on which a leader is to base its next grant."""
        return int(self._clock.monotonic() * MS_PER_S)

    def install(
        self,
        term: int,
        ttl_s: float,
        epochs: Mapping[str, int],
        call: int | None = None,
        clock_ms: int | None = None,
        run_s: float | None = None,
    ) -> GrantAnswer:
        """Replace all grants of a lower or the same term, unless a later call was here before.

        With `clock_ms` they hold until this clock reads so much plus `ttl_s`, however late the
        call arrives. A reading that this process did not give was meant for one before it, whose
        terms and releases are forgotten: it grants nothing.
        """
        if clock_ms is not None and not self._started_ms <= clock_ms <= self.clock_ms:
            return GrantLapsed()
        if term < self._term or (term == self._term and call and call <= self._last_call):
            return HigherTerm(self._term)
        self._last_call = call or 0
        self._term = term
        self._epoch_by_shard = dict(epochs)
        self._releasing.clear()
        self._lapses_at_s = self._lapse_s(ttl_s, clock_ms)
        self._runs_until_s = inf if run_s is None else self._lapse_s(run_s, clock_ms)
        return Accepted()

    def renew(
        self, term: int, ttl_s: float, clock_ms: int | None = None, run_s: float | None = None
    ) -> GrantAnswer:
        """Extend the grants of `term`, unless they lapsed."""
        if term < self._term:
            return HigherTerm(self._term)
        if term > self._term or self._lapsed():
            return GrantLapsed()
        self._lapses_at_s = max(self._lapses_at_s, self._lapse_s(ttl_s, clock_ms))
        runs_until_s = inf if run_s is None else self._lapse_s(run_s, clock_ms)
        self._runs_until_s = max(self._runs_until_s, runs_until_s)
        return Accepted()

    def release(self, term: int, shard: str) -> GrantAnswer:
        """Drop the grant of one shard; nothing of it starts from now on."""
        if term < self._term:
            return HigherTerm(self._term)
        epoch = self._epoch_by_shard.pop(shard, None)
        if epoch is not None:
            self._releasing[shard] = epoch
        return Accepted()

    def released(self, shard: str) -> None:
        """Note that nothing of a shard that is being released runs any more."""
        self._releasing.pop(shard, None)

    def allows(self, fence: Fence | None) -> bool:
        """Tell whether work under `fence` may start now."""
        if fence is None or self._lapsed() or fence.term != self._term:
            return False
        return self._epoch_by_shard.get(fence.shard) == fence.epoch

    def allows_to_finish(self, fence: Fence | None) -> bool:
        """Tell whether work that was started under `fence` may still take effect.

        A new leader of the same shard under the same epoch does not end it, nor does a release,
        which waits for it.
        """
        if fence is None or self._lapsed():
            return False
        granted = self._epoch_by_shard.get(fence.shard, self._releasing.get(fence.shard))
        return granted == fence.epoch

    def run_left_s(self) -> float:
        """Return for how long started work may run on; infinite where no grant limits it."""
        return self._runs_until_s - self._clock.monotonic()

    def _lapsed(self) -> bool:
        return self._clock.monotonic() >= self._lapses_at_s

    def _lapse_s(self, ttl_s: float, clock_ms: int | None) -> float:
        now_s = self._clock.monotonic()
        return ttl_s + (now_s if clock_ms is None else min(now_s, clock_ms / MS_PER_S))
