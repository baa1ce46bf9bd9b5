"""Check that daemons know the routes of each version of the configuration after the bound."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.soak.contact import Contact

__all__ = ["NOT_FOUND", "VersionAudit"]

# From this time after a version was acknowledged, daemons in touch must go by it or a newer one.
BOUND_S = 2.5
NOT_FOUND = 404


class VersionAudit:
    """Versions that the store acknowledged, and answers to requests for the route of a version.

    Later versions keep the routes of earlier ones. Times are seconds of one clock.
    """

    def __init__(self, contact: Contact) -> None:
        self._contact = contact
        self._writes: list[tuple[int, float]] = []
        self._losses: list[tuple[float, float]] = []
        self._served: list[tuple[str, int, float]] = []
        self._missed: list[tuple[str, int, float, float]] = []
        self._names: set[str] = set()

    def record_written(self, version: int, now_s: float) -> None:
        """Record that the store acknowledged a version, for the first time or again."""
        self._writes.append((version, now_s))

    def record_lost(self, start_s: float, end_s: float) -> None:
        """Record that the store was away and then came back without its newest version."""
        self._losses.append((start_s, end_s))

    def due_version(self, now_s: float) -> int:
        """Return the newest version that was first written the bound before, 0 if there is none."""
        return max((v for v, at_s in self._writes if at_s + BOUND_S <= now_s), default=0)

    def record_answer(
        self, daemon: str, version: int, status: int, sent_s: float, now_s: float
    ) -> None:
        """Record the answer of a daemon to a request for the route of a version."""
        self._names.add(daemon)
        if status == NOT_FOUND:
            self._missed.append((daemon, version, sent_s, now_s))
        elif status == 200:
            self._served.append((daemon, version, sent_s))

    def figures(self) -> str:
        """Return how many answers were recorded, as text."""
        return (
            f"routes of versions up to {max((v for v, _ in self._writes), default=0)}: "
            f"{len(self._served)} requests served, {len(self._missed)} answered 404"
        )

    def violations(self) -> list[str]:
        """Return the first wrong answer of each daemon for each version, as text."""
        found: dict[tuple[str, int], str] = {}
        for daemon, version, sent_s, now_s in self._missed:
            if self._must_know(daemon, version, sent_s, now_s):
                reason = f"{sent_s - self._known_from_s(version, sent_s):.3f} s after its bound"
            elif self._has_served(daemon, version, sent_s):
                reason = "after the same process had served it"
            else:
                continue
            found.setdefault(
                (daemon, version),
                f"{daemon} answered 404 for the route of version {version} {reason}, "
                f"at {sent_s:.3f}",
            )
        return list(found.values())

    def _must_know(self, daemon: str, version: int, sent_s: float, now_s: float) -> bool:
        return (
            self._known_from_s(version, sent_s) <= sent_s
            and self._contact.in_touch(daemon, sent_s)
            and self._contact.in_touch(daemon, now_s)
        )

    def _has_served(self, daemon: str, version: int, sent_s: float) -> bool:
        return any(
            name == daemon
            and served >= version
            and served_s < sent_s
            and self._contact.same_process(daemon, served_s, sent_s)
            for name, served, served_s in self._served
        )

    def _known_from_s(self, version: int, at_s: float) -> float:
        """Return when daemons in touch had to know a version, as far as that was so at a time.

        A version that the store lost before any daemon had to know it counts from its next write.
        """
        writes_s = [write_s for v, write_s in self._writes if v >= version]
        known_s = writes_s[0] + BOUND_S
        for start_s, end_s in sorted(self._losses):
            if start_s > at_s or end_s < writes_s[0]:
                continue
            kept = (self._contact.ran_through(name, start_s, end_s) for name in self._names)
            if known_s > start_s or not any(kept):
                again_s = (write_s for write_s in writes_s if write_s >= end_s)
                known_s = next(again_s, float("inf")) + BOUND_S
        return known_s
