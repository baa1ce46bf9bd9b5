"""Count the requests in flight at a leader's servers, by shard and by mapping of keys."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.core import ServiceName, ShardId
    from fuchsiawell.ownership.assignment import Assignment

__all__ = ["InFlight", "Ticket"]


@dataclass(frozen=True, slots=True)
class Ticket:
    """Stand for one request from before it is sent until nothing of it can run any more."""

    number: int
    shard: ShardId
    revision: int  # of the assignment by which the key was mapped to the shard


class InFlight:
    """Tell when nothing of a shard's keys is in flight, also under an earlier mapping of them.

    A key that was pinned, or is no longer, has requests in flight under its other shard.
    """

    def __init__(self) -> None:
        self._last_number = 0
        self._tickets_by_shard: dict[ShardId, dict[int, Ticket]] = {}
        self._until_s_by_shard: dict[ShardId, float] = {}
        self._mapped_before: dict[ShardId, dict[ShardId, int]] = {}
        self._pins_by_key: dict[tuple[ServiceName, str], ShardId] = {}

    def enter(self, shard: ShardId, revision: int) -> Ticket:
        """Count a request in, before its first byte is sent."""
        self._last_number += 1
        ticket = Ticket(self._last_number, shard, revision)
        self._tickets_by_shard.setdefault(shard, {})[ticket.number] = ticket
        return ticket

    def leave(self, ticket: Ticket, may_run_until_s: float | None = None) -> None:
        """Count a request out; with a time if it got no answer and may run up to then."""
        tickets = self._tickets_by_shard.get(ticket.shard, {})
        tickets.pop(ticket.number, None)
        if not tickets:
            self._tickets_by_shard.pop(ticket.shard, None)
        if may_run_until_s is not None:
            until_s = self._until_s_by_shard.get(ticket.shard, may_run_until_s)
            self._until_s_by_shard[ticket.shard] = max(until_s, may_run_until_s)

    def apply(self, assignment: Assignment) -> None:
        """Note which keys the record maps to another shard than the one before."""
        pins = assignment.pins_by_key
        for key in pins.keys() - self._pins_by_key.keys():
            self._note(pins[key], assignment, key)
        for key in self._pins_by_key.keys() - pins.keys():
            parent = assignment.shard_for(*key)
            if parent is not None:
                self._mapped_before.setdefault(parent, {})[
                    self._pins_by_key[key]
                ] = assignment.revision
        self._pins_by_key = dict(pins)

    def is_drained(self, shard: ShardId, now_s: float) -> bool:
        """Tell whether no request for a key of the shard is in flight or may still run."""
        if self._tickets_by_shard.get(shard) or self._may_run(shard, now_s):
            return False
        return all(
            self._is_drained_before(other, revision, now_s)
            for other, revision in self._mapped_before.get(shard, {}).items()
        )

    def last_run_s(self, shards: list[ShardId]) -> float:
        """Return until when unanswered requests of the shards may run."""
        return max((self._until_s_by_shard.get(s, float("-inf")) for s in shards), default=0.0)

    def _note(self, pinned: ShardId, assignment: Assignment, key: tuple[ServiceName, str]) -> None:
        parent = assignment.hash_shard_for(*key)
        if parent is not None:
            self._mapped_before.setdefault(pinned, {})[parent] = assignment.revision

    def _is_drained_before(self, shard: ShardId, revision: int, now_s: float) -> bool:
        tickets = self._tickets_by_shard.get(shard, {}).values()
        return not any(t.revision < revision for t in tickets) and not self._may_run(shard, now_s)

    def _may_run(self, shard: ShardId, now_s: float) -> bool:
        return now_s < self._until_s_by_shard.get(shard, float("-inf"))
