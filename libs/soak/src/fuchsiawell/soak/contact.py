"""When daemons were in touch: running, undisturbed, and able to reach the store."""

from __future__ import annotations

__all__ = ["CONTACT_S", "Contact"]

# A daemon that was disturbed is in touch again after this time.
CONTACT_S = 3.0


class Contact:
    """Disturbances of one daemon, or of all, and starts of processes; times are of one clock."""

    def __init__(self) -> None:
        self._disturbances: list[tuple[str | None, float, float]] = []
        self._starts: list[tuple[str, float]] = []

    def record_disturbance(self, daemon: str | None, start_s: float, end_s: float) -> None:
        """Record that a daemon, or each, did not run or could not reach the store."""
        self._disturbances.append((daemon, start_s, end_s))

    def record_start(self, daemon: str, now_s: float) -> None:
        """Record that a new process of a daemon was started."""
        self._starts.append((daemon, now_s))

    def in_touch(self, daemon: str, at_s: float) -> bool:
        """Return whether a daemon was undisturbed at a time and for `CONTACT_S` before."""
        return not any(
            name in (daemon, None) and start_s < at_s <= end_s + CONTACT_S
            for name, start_s, end_s in self._disturbances
        )

    def was_in_touch(self, daemon: str, start_s: float, end_s: float) -> bool:
        """Return whether a daemon's present process was in touch once between two times."""
        ends = [e + CONTACT_S for name, _, e in self._disturbances if name in (daemon, None)]
        candidates = [start_s, *(end + 0.001 for end in ends)]
        return any(
            start_s <= at_s < end_s
            and self.same_process(daemon, at_s, end_s)
            and self.in_touch(daemon, at_s)
            for at_s in candidates
        )

    def same_process(self, daemon: str, start_s: float, end_s: float) -> bool:
        """Return whether no process of a daemon was started between two times."""
        return not any(name == daemon and start_s <= at_s <= end_s for name, at_s in self._starts)

    def ran_through(self, daemon: str, start_s: float, end_s: float) -> bool:
        """Return whether a daemon was in touch and then undisturbed, but for all that befell each.

        What it knew when the time began, it still knew at its end.
        """
        return self.in_touch(daemon, start_s) and not any(
            name == daemon and first_s <= end_s and last_s >= start_s
            for name, first_s, last_s in self._disturbances
        )
