"""Faults of the key-value service, decided call by call."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.platform import TokenBucket
from fuchsiawell.platform.calls import READS

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from random import Random

    from fuchsiawell.core import Clock
    from fuchsiawell.platform import CallKind

__all__ = [
    "CapacityFaults",
    "DropWatch",
    "Fault",
    "FaultPlan",
    "FirstOf",
    "Hang",
    "LapseLeases",
    "LoseAnswer",
    "LoseRequest",
    "NoFault",
    "NoFaults",
    "RandomFaults",
    "Refuse",
    "ScriptedFaults",
    "SettableFaults",
    "Slow",
]

BURST_S = 0.1  # seconds of a rate that may be used at once


@dataclass(frozen=True, slots=True)
class NoFault:
    """Serve the call."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer at once that nothing was done."""


@dataclass(frozen=True, slots=True)
class LoseRequest:
    """Do nothing and lose the connection."""


@dataclass(frozen=True, slots=True)
class LoseAnswer:
    """Do what was asked, then lose the connection."""


@dataclass(frozen=True, slots=True)
class Slow:
    """Serve the call after a delay."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class Hang:
    """Hold the call for `hold_s` and lose it, after it took effect or before."""

    hold_s: float
    takes_effect: bool = False


@dataclass(frozen=True, slots=True)
class LapseLeases:
    """Let every lease lapse, then serve the call."""


@dataclass(frozen=True, slots=True)
class DropWatch:
    """Lose a watch at once; other calls are served."""


Fault = NoFault | Refuse | LoseRequest | LoseAnswer | Slow | Hang | LapseLeases | DropWatch


class FaultPlan(ABC):
    """Decide what happens to each call."""

    @abstractmethod
    def decide(self, kind: CallKind, key: str) -> Fault:
        """Return the fault of the next call of `kind` on `key` (or prefix, or lease)."""


class NoFaults(FaultPlan):
    """Serve every call."""

    def decide(self, kind: CallKind, key: str) -> Fault:
        """Return no fault."""
        return NoFault()


class ScriptedFaults(FaultPlan):
    """Give each call of the chosen kinds the next fault of a script; then no more faults."""

    def __init__(self, faults: Iterable[Fault], kinds: Iterable[CallKind] | None = None) -> None:
        self._faults = deque(faults)
        self._kinds = None if kinds is None else frozenset(kinds)

    def decide(self, kind: CallKind, key: str) -> Fault:
        """Return the next fault of the script."""
        chosen = self._kinds is None or kind in self._kinds
        return self._faults.popleft() if chosen and self._faults else NoFault()


class RandomFaults(FaultPlan):
    """Draw a fault for a share of the calls from a seeded source."""

    def __init__(self, random: Random, share: float, faults: Sequence[Fault]) -> None:
        """Give a `share` (0 to 1) of calls one of `faults`, each as likely as the others."""
        self._random = random
        self._share = share
        self._faults = faults

    def decide(self, kind: CallKind, key: str) -> Fault:
        """Return a drawn fault, or none."""
        if self._random.random() >= self._share:
            return NoFault()
        return self._random.choice(self._faults)


class SettableFaults(FaultPlan):
    """Give every call of the chosen kinds the fault that was set last."""

    def __init__(self) -> None:
        self._fault: Fault = NoFault()
        self._kinds: frozenset[CallKind] | None = None

    def set(self, fault: Fault, kinds: Iterable[CallKind] | None = None) -> None:
        """Give calls of `kinds`, or all, this fault from now on."""
        self._fault = fault
        self._kinds = None if kinds is None else frozenset(kinds)

    def clear(self) -> None:
        """Serve every call again."""
        self.set(NoFault())

    def decide(self, kind: CallKind, key: str) -> Fault:
        """Return the set fault where the kind is chosen."""
        return self._fault if self._kinds is None or kind in self._kinds else NoFault()


class CapacityFaults(FaultPlan):
    """Be as fast as the service is said to be: calls over its rates wait, and then are refused."""

    def __init__(
        self, clock: Clock, reads_per_s: float, writes_per_s: float, max_wait_s: float = 1.0
    ) -> None:
        """Allow a tenth of a second's calls at once."""
        self._reads = TokenBucket(clock, reads_per_s, max(1.0, reads_per_s * BURST_S))
        self._writes = TokenBucket(clock, writes_per_s, max(1.0, writes_per_s * BURST_S))
        self._max_wait_s = max_wait_s

    def decide(self, kind: CallKind, key: str) -> Fault:
        """Return the wait that the call must take, if any."""
        bucket = self._reads if kind in READS else self._writes
        wait_s = bucket.reserve(self._max_wait_s)
        if wait_s is None:
            return Refuse()
        return Slow(wait_s) if wait_s > 0 else NoFault()


class FirstOf(FaultPlan):
    """Ask several plans, and take the first fault."""

    def __init__(self, *plans: FaultPlan) -> None:
        self._plans = plans

    def decide(self, kind: CallKind, key: str) -> Fault:
        """Return the fault of the first plan that has one; later plans are not asked."""
        faults = (plan.decide(kind, key) for plan in self._plans)
        return next((fault for fault in faults if fault != NoFault()), NoFault())
