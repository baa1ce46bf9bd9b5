"""The leader's queue for one backend server: bounded, in deadline order, fair, quick to refuse."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum, unique
from typing import TYPE_CHECKING

from fuchsiawell.load.deadline_list import DeadlineList
from fuchsiawell.load.estimate import ServiceTimes
from fuchsiawell.load.returns import ReturnSchedule
from fuchsiawell.load.shares import Shares

if TYPE_CHECKING:
    from fuchsiawell.core import RequestId

__all__ = [
    "Admission",
    "Admit",
    "Decision",
    "Entry",
    "Progress",
    "QueueSettings",
    "Queued",
    "Shed",
    "ShedCause",
    "ShedEntry",
]

SAFETY_DEVIATIONS = 1.0  # of service time, beyond its mean, that must fit before the deadline
MAX_DISPLACED = 64  # requests of larger shares that one newcomer may replace
SLOT_RECOVERY_S = 1.0  # without refusals, until a slot taken away by one comes back
MAX_PAUSE_S = 2.0  # longest pause that a server's own shedding may ask for


@unique
class ShedCause(StrEnum):
    """Say why the queue refused a request; nothing of it was sent."""

    DEADLINE = "deadline"  # cannot finish in time
    FULL = "full"
    SHARE = "share"  # gave way to a caller or kind with less of the server
    DRAINING = "draining"
    SUSPENDED = "suspended"  # the server is out of reach


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """Set up the queue of one server."""

    slots: int
    max_queued: int = 256
    initial_service_s: float = 0.05  # expected before the first answer
    cold_start_s: float = 10.0  # until a server that joined gets all of its slots
    max_retry_after_s: float = 5.0


@dataclass(frozen=True, slots=True, eq=False)
class Entry:
    """Name one request that wants a slot; two entries are never equal."""

    request: RequestId
    kind: str
    caller: str
    deadline_s: float  # monotonic time of this daemon


@dataclass(frozen=True, slots=True)
class Shed:
    """Refuse the request for good: not run; the caller may come back after `retry_after_s`."""

    cause: ShedCause
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class ShedEntry:
    """Tell that a request that was waiting is refused after all."""

    entry: Entry
    shed: Shed


@dataclass(frozen=True, slots=True)
class Admit:
    """Send the request now."""


@dataclass(frozen=True, slots=True)
class Queued:
    """Hold the request; answer those that it displaced at once."""

    displaced: tuple[ShedEntry, ...] = ()


Decision = Admit | Queued | Shed


@dataclass(frozen=True, slots=True)
class Progress:
    """List the waiting requests to send now, and those to refuse now."""

    start: tuple[Entry, ...] = ()
    shed: tuple[ShedEntry, ...] = ()


class Admission:
    """Decide which requests get the slots of one server.

    The caller passes its monotonic time in. Every entry ends in exactly one way: shed by the
    decision itself, shed by a later `Progress` or `displaced`, cancelled while it waits, taken
    out by `drain` or `suspend`, or started; what was started must be handed to `finish` or
    `refused`. A timer calls `expire` by `next_check_s`, and at least once a second.
    """

    def __init__(self, settings: QueueSettings) -> None:
        self._settings = settings
        self._times = ServiceTimes(settings.initial_service_s)
        self._waiting: DeadlineList[Entry] = DeadlineList()
        self._shares = Shares()
        self._started_s_by_entry: dict[Entry, float] = {}
        self._returns = ReturnSchedule(settings.max_retry_after_s)
        self._draining = False
        self._suspended = False
        self._cold_since_s: float | None = None
        self._paused_until_s = 0.0
        self._slots_withheld = 0
        self._last_refusal_s = 0.0

    @property
    def running(self) -> int:
        """Count the requests that hold a slot."""
        return len(self._started_s_by_entry)

    @property
    def queued(self) -> int:
        """Count the requests that wait."""
        return len(self._waiting)

    def expected_s(self, kind: str) -> float:
        """Return how long a request is expected to keep a slot; the work of one that was shed."""
        return self._times.mean_s(kind)

    def limit(self, now_s: float) -> int:
        """Return the slots in use now: fewer after a cold start or the server's own shedding."""
        if self._cold_since_s is None and not self._slots_withheld:
            return self._settings.slots
        return max(1, min(self._warm_slots(now_s), self._settings.slots - self._withheld(now_s)))

    def offer(self, entry: Entry, now_s: float) -> Decision:
        """Decide at once on a new request."""
        refusal = self._refuse_outright(entry, now_s)
        if refusal is not None:
            return refusal
        if not self._waiting and self._may_start(now_s) and self._worth_starting(entry, now_s):
            self._start(entry, now_s)
            return Admit()
        displaced = self._make_room(entry, now_s)
        if isinstance(displaced, Shed):
            return displaced
        self._wait(entry)
        return Queued(displaced)

    def finish(self, entry: Entry, now_s: float, *, measured: bool = True) -> Progress:
        """Free the slot of a request that ended; `measured` is false if it was cut or cancelled."""
        started_s = self._started_s_by_entry.pop(entry)
        if measured:
            self._times.record(entry.kind, now_s - started_s)
        return self._advance(now_s)

    def refused(self, entry: Entry, now_s: float, pause_s: float = 0.0) -> Progress:
        """Free the slot of a request that the server itself shed, and send it less for a while."""
        self._slots_withheld = min(self._withheld(now_s) + 1, self._settings.slots - 1)
        self._last_refusal_s = now_s
        self._paused_until_s = max(self._paused_until_s, now_s + min(pause_s, MAX_PAUSE_S))
        return self.finish(entry, now_s, measured=False)

    def expire(self, now_s: float) -> Progress:
        """Refuse all that can no longer finish in time, and start what may start; O(n)."""
        busy_s = self._busy_left_s(now_s)
        shed = []
        for entry, work_s in self._waiting:
            finish_s = self._first_start_s(now_s) + busy_s / self.limit(now_s) + work_s
            if finish_s > entry.deadline_s:
                shed.append(self._shed_waiting(entry, ShedCause.DEADLINE, now_s))
            else:
                busy_s += work_s
        progress = self._advance(now_s)
        return Progress(progress.start, (*shed, *progress.shed))

    def cancel(self, entry: Entry) -> bool:
        """Take a waiting request out; false if it is not waiting (any longer)."""
        if entry not in self._waiting:
            return False
        self._take(entry)
        return True

    def drain(self) -> tuple[Entry, ...]:
        """Accept nothing more, and hand over all that waits; what runs is left to finish."""
        self._draining = True
        return self._take_all()

    def suspend(self) -> tuple[Entry, ...]:
        """Refuse all until `resume`, since the server is out of reach; hand over all that waits."""
        self._suspended = True
        return self._take_all()

    def resume(self, now_s: float, *, cold: bool = True) -> None:
        """Accept again, with the slots given back gradually if the server starts cold."""
        self._draining = False
        self._suspended = False
        self._cold_since_s = now_s if cold else None
        if cold:
            self._times.forget()

    def next_check_s(self, now_s: float) -> float | None:
        """Return the latest time for the next `expire`; `None` while nothing waits."""
        first = self._waiting.first()
        if first is None:
            return None
        if self._may_start(now_s):
            return now_s
        due_s = first.deadline_s - self._times.mean_s(first.kind)
        if self._paused_until_s > now_s:
            due_s = min(due_s, self._paused_until_s)
        return max(due_s, now_s)

    def _refuse_outright(self, entry: Entry, now_s: float) -> Shed | None:
        if self._draining:
            return self._shed(ShedCause.DRAINING, now_s)
        if self._suspended:
            return self._shed(ShedCause.SUSPENDED, now_s)
        if entry.deadline_s <= now_s:
            return self._shed(ShedCause.DEADLINE, now_s)
        return None

    def _make_room(self, entry: Entry, now_s: float) -> tuple[ShedEntry, ...] | Shed:
        """Displace what larger shares hold until `entry` fits, or refuse `entry` alone."""
        work_s = self._times.mean_s(entry.kind)
        victims: list[Entry] = []
        while True:
            cause = self._lacks_room(entry, now_s)
            if cause is None:
                return tuple(ShedEntry(v, self._shed(ShedCause.SHARE, now_s)) for v in victims)
            victim = None
            if len(victims) < MAX_DISPLACED:
                victim = self._shares.victim(entry, work_s)
            if victim is None:
                for spared in victims:
                    self._wait(spared)
                return self._shed(cause, now_s)
            self._take(victim)
            victims.append(victim)

    def _lacks_room(self, entry: Entry, now_s: float) -> ShedCause | None:
        if self._finish_s(entry, now_s) > entry.deadline_s:
            return ShedCause.DEADLINE
        return ShedCause.FULL if len(self._waiting) >= self._settings.max_queued else None

    def _wait(self, entry: Entry) -> None:
        work_s = self._times.mean_s(entry.kind)
        self._waiting.add(entry, entry.deadline_s, work_s)
        self._shares.add(entry, work_s)

    def _advance(self, now_s: float) -> Progress:
        start: list[Entry] = []
        shed: list[ShedEntry] = []
        while self._may_start(now_s):
            entry = self._waiting.first()
            if entry is None:
                break
            if not self._worth_starting(entry, now_s):
                shed.append(self._shed_waiting(entry, ShedCause.DEADLINE, now_s))
                continue
            self._take(entry)
            self._start(entry, now_s)
            start.append(entry)
        return Progress(tuple(start), tuple(shed))

    def _worth_starting(self, entry: Entry, now_s: float) -> bool:
        if not self._started_s_by_entry:
            # An idle server always gets one: a stale estimate must not shut it for good.
            return entry.deadline_s > now_s
        return now_s + self._times.mean_s(entry.kind) <= entry.deadline_s

    def _start(self, entry: Entry, now_s: float) -> None:
        self._started_s_by_entry[entry] = now_s

    def _take(self, entry: Entry) -> None:
        self._waiting.remove(entry)
        self._shares.remove(entry)

    def _take_all(self) -> tuple[Entry, ...]:
        entries = tuple(entry for entry, _ in self._waiting)
        for entry in entries:
            self._take(entry)
        return entries

    def _shed_waiting(self, entry: Entry, cause: ShedCause, now_s: float) -> ShedEntry:
        self._take(entry)
        return ShedEntry(entry, self._shed(cause, now_s))

    def _shed(self, cause: ShedCause, now_s: float) -> Shed:
        spacing_s = self._settings.initial_service_s / self._settings.slots
        return Shed(cause, self._returns.take(now_s, self._drained_in_s(now_s), spacing_s))

    def _drained_in_s(self, now_s: float) -> float:
        work_s = self._busy_left_s(now_s) + self._waiting.work_ahead_s(float("inf"))
        return self._first_start_s(now_s) - now_s + work_s / self.limit(now_s)

    def _finish_s(self, entry: Entry, now_s: float) -> float:
        ahead_s = self._waiting.work_ahead_s(entry.deadline_s)
        wait_s = (self._busy_left_s(now_s) + ahead_s) / self.limit(now_s)
        own_s = self._times.mean_s(entry.kind)
        margin_s = SAFETY_DEVIATIONS * self._times.deviation_s(entry.kind)
        return self._first_start_s(now_s) + wait_s + own_s + margin_s

    def _first_start_s(self, now_s: float) -> float:
        return max(now_s, self._paused_until_s)

    def _busy_left_s(self, now_s: float) -> float:
        return sum(
            max(0.0, started_s + self._times.mean_s(entry.kind) - now_s)
            for entry, started_s in self._started_s_by_entry.items()
        )

    def _may_start(self, now_s: float) -> bool:
        if self._draining or self._suspended or now_s < self._paused_until_s:
            return False
        return len(self._started_s_by_entry) < self.limit(now_s)

    def _withheld(self, now_s: float) -> int:
        if not self._slots_withheld:
            return 0
        recovered = int((now_s - self._last_refusal_s) / SLOT_RECOVERY_S)
        if recovered >= self._slots_withheld:
            self._slots_withheld = 0
        return max(0, self._slots_withheld - recovered)

    def _warm_slots(self, now_s: float) -> int:
        slots = self._settings.slots
        if self._cold_since_s is None:
            return slots
        warm = (now_s - self._cold_since_s) / self._settings.cold_start_s
        if warm >= 1:
            self._cold_since_s = None
            return slots
        return 1 + int(warm * (slots - 1))
