"""Check that daemons which are cut off from all servers serve clients about as often as others."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass

__all__ = ["RecoverAudit"]

# First tries count from this time after the beginning of a cut.
CONTACT_S = 3.0
# The part of the others' share that daemons which are cut off must serve.
MIN_RATIO = 2 / 3
# Failed first tries that are tolerated, beside this part of all first tries.
TOLERATED_FAILURES = 10
TOLERATED_FAILURE_RATIO = 1 / 50


@dataclass(frozen=True)
class _Cut:
    daemons: frozenset[str]
    start_s: float
    end_s: float
    alone: bool


@dataclass(frozen=True)
class _Figures:
    """First tries that count for a cut, at its daemons and at those that no cut concerns."""

    cut: _Cut
    sent: int
    served: int
    sent_to_others: int
    served_by_others: int

    @property
    def broken(self) -> bool:
        tolerated = TOLERATED_FAILURES + TOLERATED_FAILURE_RATIO * (self.sent + self.sent_to_others)
        if (
            self.cut.alone
            and self.sent_to_others - self.served_by_others > tolerated
            and self.served_by_others < MIN_RATIO * self.sent_to_others
        ):
            return True
        if self.sent - self.served <= tolerated or not self.sent_to_others:
            return False
        return self.served * self.sent_to_others < MIN_RATIO * self.served_by_others * self.sent

    def __str__(self) -> str:
        return (
            f"{len(self.cut.daemons)} daemons that reached no server from {self.cut.start_s:.3f} "
            f"to {self.cut.end_s:.3f} served {self.served} of {self.sent} first tries, the others "
            f"{self.served_by_others} of {self.sent_to_others}"
        )


class RecoverAudit:
    """Cuts of daemons from all servers, and the first tries of clients.

    Times are seconds of one clock. A first try counts by the time at which the client sent it, and
    only while daemons of both sides are in touch: they are compared at the same moments.
    """

    def __init__(self) -> None:
        self._cuts: list[_Cut] = []
        self._tries: list[tuple[float, str, bool]] = []
        self._names: set[str] = set()
        self._disturbances: list[tuple[str, float, float]] = []

    def record_cut(
        self, daemons: set[str], start_s: float, end_s: float, alone: bool = False
    ) -> None:
        """Record that some daemons reached no server for a time.

        With no other fault beside it, the other daemons must serve that part of all first tries.
        """
        self._cuts.append(_Cut(frozenset(daemons), start_s, end_s, alone))

    def record_first_try(self, daemon: str, sent_s: float, served: bool) -> None:
        """Record a client's first try; one that was refused or not read was not served."""
        insort(self._tries, (sent_s, daemon, served))
        self._names.add(daemon)

    def record_disturbance(self, daemon: str, start_s: float, end_s: float) -> None:
        """Record that a daemon was restarted, frozen or cut off from the store."""
        self._disturbances.append((daemon, start_s, end_s))

    def violations(self) -> list[str]:
        """Return each cut in which too few first tries were served, as text."""
        return [str(figures) for cut in self._cuts if (figures := self._count(cut)).broken]

    def figures(self) -> list[str]:
        """Return the first tries of all cuts, as text."""
        return [str(self._count(cut)) for cut in self._cuts]

    def in_touch(self, daemon: str, at_s: float) -> bool:
        """Return whether a daemon was undisturbed at a time and shortly before."""
        return not any(
            name == daemon and start_s <= at_s <= end_s + CONTACT_S
            for name, start_s, end_s in self._disturbances
        )

    def _count(self, cut: _Cut) -> _Figures:
        first_s = cut.start_s + CONTACT_S
        sent = {True: 0, False: 0}
        served = {True: 0, False: 0}
        for sent_s, daemon, was_served in self._tries:
            if not first_s <= sent_s < cut.end_s or daemon not in self._counting(cut, sent_s):
                continue
            is_cut = daemon in cut.daemons
            sent[is_cut] += 1
            served[is_cut] += was_served
        return _Figures(cut, sent[True], served[True], sent[False], served[False])

    def _counting(self, cut: _Cut, at_s: float) -> set[str]:
        """Return the daemons whose tries count now, none if there are none to compare with."""
        names = {name for name in self._names if self.in_touch(name, at_s)}
        others = {name for name in names - cut.daemons if not self._is_cut(name, at_s)}
        at_cut = names & cut.daemons
        return at_cut | others if at_cut and others else set()

    def _is_cut(self, daemon: str, at_s: float) -> bool:
        return any(
            daemon in cut.daemons and cut.start_s <= at_s < cut.end_s + CONTACT_S
            for cut in self._cuts
        )
