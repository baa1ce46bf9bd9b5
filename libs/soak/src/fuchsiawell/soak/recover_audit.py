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


class RecoverAudit:
    """Cuts of daemons from all servers, and the first tries of clients.

    Times are seconds of one clock. A first try counts by the time at which the client sent it.
    """

    def __init__(self) -> None:
        self._cuts: list[_Cut] = []
        self._tries: list[tuple[float, str, bool]] = []
        self._disturbances: list[tuple[str, float, float]] = []

    def record_cut(self, daemons: set[str], start_s: float, end_s: float) -> None:
        """Record that some daemons reached no server for a time."""
        self._cuts.append(_Cut(frozenset(daemons), start_s, end_s))

    def record_first_try(self, daemon: str, sent_s: float, served: bool) -> None:
        """Record a client's first try; one that was refused or not read was not served."""
        insort(self._tries, (sent_s, daemon, served))

    def record_disturbance(self, daemon: str, start_s: float, end_s: float) -> None:
        """Record that a daemon was restarted, frozen or cut off from the store."""
        self._disturbances.append((daemon, start_s, end_s))

    def violations(self) -> list[str]:
        """Return each cut in which too few first tries were served, as text."""
        return [text for cut in self._cuts if (text := self._violation(cut)) is not None]

    def _violation(self, cut: _Cut) -> str | None:
        first_s = cut.start_s + CONTACT_S
        sent = {True: 0, False: 0}
        served = {True: 0, False: 0}
        for sent_s, daemon, was_served in self._tries:
            if not first_s <= sent_s < cut.end_s or not self._in_touch(daemon, sent_s):
                continue
            is_cut = daemon in cut.daemons
            if not is_cut and self._is_cut(daemon, sent_s):
                continue
            sent[is_cut] += 1
            served[is_cut] += was_served
        failed = sent[True] - served[True]
        tolerated = TOLERATED_FAILURES + TOLERATED_FAILURE_RATIO * sum(sent.values())
        if failed <= tolerated or not sent[False]:
            return None
        if served[True] * sent[False] >= MIN_RATIO * served[False] * sent[True]:
            return None
        return (
            f"{len(cut.daemons)} daemons that reached no server from {cut.start_s:.3f} to "
            f"{cut.end_s:.3f} served {served[True]} of {sent[True]} first tries, the others "
            f"{served[False]} of {sent[False]}"
        )

    def _is_cut(self, daemon: str, at_s: float) -> bool:
        return any(
            daemon in cut.daemons and cut.start_s <= at_s < cut.end_s + CONTACT_S
            for cut in self._cuts
        )

    def _in_touch(self, daemon: str, at_s: float) -> bool:
        return not any(
            name == daemon and start_s <= at_s <= end_s + CONTACT_S
            for name, start_s, end_s in self._disturbances
        )
