"""Datagrams by which a new granter learns assignments that the store has forgotten."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.shards import Assignment

__all__ = ["MapReply", "MapRequest", "NewerAssignments", "WitnessReply", "WitnessRequest"]


@dataclass(frozen=True)
class MapRequest:
    """Request for the assignments of a service whose fences are at least `min_fence`."""

    service: str
    min_fence: int


@dataclass(frozen=True)
class MapReply:
    """Some of the requested assignments."""

    service: str
    assignments: list[Assignment]


@dataclass(frozen=True)
class WitnessRequest:
    """Request to say whether a daemon knows the assignments of before an era of the store."""

    service: str
    era: int
    min_fence: int


@dataclass(frozen=True)
class WitnessReply:
    """The sender knows them; it has sent `newer` assignments whose fences are at least the asked.

    No daemon replies that has begun in that era: it knows only what the store has not forgotten.
    """

    service: str
    newer: int


@dataclass
class NewerAssignments:
    """Replies to requests for the assignments of a service, by sender."""

    _by_sender: dict[str, dict[int, Assignment]] = field(default_factory=dict)
    _count_by_witness: dict[str, int] = field(default_factory=dict)

    def add(self, sender: str, assignments: list[Assignment]) -> None:
        """Add assignments that a daemon knows."""
        known = self._by_sender.setdefault(sender, {})
        known.update((assignment.fence, assignment) for assignment in assignments)

    def add_witness(self, sender: str, count: int) -> None:
        """Record that a daemon has known the last map of before, and has sent so many."""
        self._count_by_witness[sender] = count

    @property
    def in_order(self) -> list[Assignment]:
        """All assignments, in the order of their fences."""
        assignments = {fence: a for known in self._by_sender.values() for fence, a in known.items()}
        return [assignments[fence] for fence in sorted(assignments)]

    @property
    def witnesses(self) -> int:
        """Number of daemons that knew the last ones of before and all of whose have arrived.

        Daemons of an earlier release do not say whether they did.
        """
        return sum(
            len(self._by_sender.get(sender, ())) >= count
            for sender, count in self._count_by_witness.items()
        )
