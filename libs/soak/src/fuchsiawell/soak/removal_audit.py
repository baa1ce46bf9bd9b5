"""Check that servers whose entries were removed get no requests while they go on serving."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.soak.contact import Contact

__all__ = ["RemovalAudit"]

# From this time after the store acknowledged the removal, no request may reach the server.
DRAIN_S = 2.0


class RemovalAudit:
    """Removed entries, and requests that reached their servers; times are of one clock.

    A daemon that is not in touch is excused unless its process has been in touch since the bound.
    """

    def __init__(self, contact: Contact) -> None:
        self._contact = contact
        self._removed_s: dict[str, float] = {}
        self._arrivals: list[tuple[str, str, float]] = []

    def record_removed(self, incarnation_id: str, now_s: float) -> None:
        """Record that the store acknowledged the removal of the entry of a server."""
        self._removed_s[incarnation_id] = now_s

    def record_arrival(self, incarnation_id: str, daemon: str, now_s: float) -> None:
        """Record that a request of a daemon reached a server."""
        if incarnation_id in self._removed_s:
            self._arrivals.append((incarnation_id, daemon, now_s))

    def figures(self) -> str:
        """Return how many entries were removed and how many requests came after, as text."""
        return f"{len(self._removed_s)} entries removed, {len(self._arrivals)} requests after that"

    def violations(self) -> list[str]:
        """Return the first late request of each server and daemon, as text."""
        found: dict[tuple[str, str], str] = {}
        for incarnation_id, daemon, at_s in self._arrivals:
            bound_s, contact = self._removed_s[incarnation_id] + DRAIN_S, self._contact
            if at_s <= bound_s:
                continue
            if contact.in_touch(daemon, at_s) or contact.was_in_touch(daemon, bound_s, at_s):
                found.setdefault(
                    (incarnation_id, daemon),
                    f"{incarnation_id} got a request of {daemon} {at_s - bound_s + DRAIN_S:.3f} s "
                    f"after the removal of its entry, at {at_s:.3f}",
                )
        return list(found.values())
