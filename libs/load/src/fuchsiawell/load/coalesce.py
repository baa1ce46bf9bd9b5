"""Answer equal reads that wait at the same time by running one of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

__all__ = ["Coalescer"]

R = TypeVar("R")


@dataclass(slots=True)
class _Group(Generic[R]):
    fingerprint: bytes
    members: list[R] = field(default_factory=list)


class Coalescer(Generic[R]):
    """Group equal reads while the first of them waits for a slot.

    A read may join only until the first is sent. The server then reads its state after every
    member arrived, so no member can miss a write that was answered before it was sent. The
    fingerprint must cover all that reaches the server, credentials included, but for the
    request's id and deadline; only kinds that the configuration names as equal for all callers
    with the same fingerprint may be offered.
    """

    def __init__(self) -> None:
        self._open_by_fingerprint: dict[bytes, R] = {}
        self._group_by_lead: dict[R, _Group[R]] = {}
        self._lead_by_member: dict[R, R] = {}

    def join(self, fingerprint: bytes, request: R) -> R | None:
        """Return the waiting request that answers for `request`; `None` if it leads a new group."""
        lead = self._open_by_fingerprint.get(fingerprint)
        if lead is None:
            self._open_by_fingerprint[fingerprint] = request
            self._group_by_lead[request] = _Group(fingerprint)
            return None
        self._group_by_lead[lead].members.append(request)
        self._lead_by_member[request] = lead
        return lead

    def started(self, lead: R) -> None:
        """Close the group, since its request is about to be sent."""
        group = self._group_by_lead.get(lead)
        if group is not None and self._open_by_fingerprint.get(group.fingerprint) == lead:
            del self._open_by_fingerprint[group.fingerprint]

    def finish(self, lead: R) -> tuple[R, ...]:
        """End the group, and return the members that get the same outcome."""
        self.started(lead)
        group = self._group_by_lead.pop(lead, None)
        members = () if group is None else tuple(group.members)
        for member in members:
            del self._lead_by_member[member]
        return members

    def answers_others(self, lead: R) -> bool:
        """Tell whether `lead` must go on although its own caller went away."""
        group = self._group_by_lead.get(lead)
        return group is not None and bool(group.members)

    def leave(self, member: R) -> bool:
        """Drop a member whose caller went away; false if it is not a member of a group."""
        lead = self._lead_by_member.pop(member, None)
        if lead is None:
            return False
        self._group_by_lead[lead].members.remove(member)
        return True
