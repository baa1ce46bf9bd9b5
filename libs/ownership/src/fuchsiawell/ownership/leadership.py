"""Everything that one daemon leads, and the answer to whether a request may be sent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.core import NotRunReason
from fuchsiawell.ownership.assignment import ShardState
from fuchsiawell.ownership.evidence import Fact, HandedOver, Released
from fuchsiawell.ownership.inflight import InFlight, Ticket
from fuchsiawell.ownership.server_leadership import ServerLeadership

if TYPE_CHECKING:
    from fuchsiawell.core import ServerId, ServiceName, ShardId
    from fuchsiawell.ownership.actions import Action, Event
    from fuchsiawell.ownership.assignment import Assignment, ServerRecord
    from fuchsiawell.ownership.membership import Membership

__all__ = ["DEFAULT_LONGEST_DEADLINE_S", "Fence", "Leader"]

DEFAULT_LONGEST_DEADLINE_S = 30.0  # for a service whose configuration is not known yet


@dataclass(frozen=True, slots=True)
class Fence:
    """Name the server, term and epoch under which a request may be sent at this instant."""

    server: ServerId
    address: str
    term: int
    epoch: int


class Leader:
    """Follow the record as one daemon: take servers over, serve them, give them up."""

    def __init__(
        self,
        membership: Membership,
        longest_deadline_s_by_service: dict[ServiceName, float] | None = None,
    ) -> None:
        self.inflight = InFlight()
        self.assignment: Assignment | None = None
        self._membership = membership
        self._longest_deadline_s = longest_deadline_s_by_service or {}
        self._by_server: dict[ServerId, ServerLeadership] = {}
        self._handed_over: set[HandedOver] = set()
        self._released: set[Released] = set()
        self._incarnation = 0

    def set_longest_deadlines(self, by_service: dict[ServiceName, float]) -> None:
        """Take the longest deadline of each service in seconds, for leaderships from now on."""
        self._longest_deadline_s = by_service

    def apply(self, assignment: Assignment, now_s: float) -> None:
        """Follow a record that is newer than the one held; older ones change nothing."""
        held = self.assignment
        if held is not None and assignment.revision <= held.revision:
            return
        self.assignment = assignment
        self.inflight.apply(assignment)
        self._keep_released(assignment)
        self._incarnation = assignment.incarnations_by_member.get(self._membership.self_id, -1)
        led = {s.id: s for s in assignment.led_by(self._membership.self_id)}
        for id in [id for id in self._by_server if id not in led]:
            del self._by_server[id]
        wanted, moving = _shards_by_server(assignment)
        self._handed_over.clear()
        for id, record in led.items():
            if self._incarnation != self._membership.incarnation or record.successor is not None:
                self._stop(record)
            else:
                self._follow(record, wanted.get(id, {}), moving.get(id, {}), now_s)

    def tick(self, now_s: float) -> list[Action]:
        """Return the calls to servers that are due; none without the right to act."""
        if not self._may_act(now_s):
            return []
        return [action for led in self._by_server.values() for action in led.tick(now_s)]

    def on_event(self, event: Event, now_s: float) -> None:
        """Take the answer to a call, or what the data path found out."""
        led = self._by_server.get(event.server)
        if led is not None and led.term == event.term:
            led.on_event(event, now_s)

    def may_send(self, shard: ShardId, now_s: float) -> Fence | NotRunReason:
        """Return the fence for work of the shard at this instant, or why it may not be sent."""
        assignment = self.assignment
        record = None if assignment is None else assignment.shards_by_id.get(shard)
        if record is None or record.owner is None:
            return NotRunReason.NO_OWNER
        if record.state is not ShardState.ASSIGNED:
            return NotRunReason.MOVING
        led = self._by_server.get(record.owner)
        if led is None or not self._may_act(now_s):
            return NotRunReason.NO_LEADER
        if not led.may_send(shard, record.epoch, now_s):
            return NotRunReason.NO_LEADER
        return Fence(record.owner, led.record.address, led.term, record.epoch)

    def enter(self, shard: ShardId, fence: Fence, now_s: float) -> Ticket:
        """Count a request in at the instant of its fence, before its first byte is sent."""
        assert self.assignment is not None  # a fence was given from it
        self._by_server[fence.server].on_work(now_s)
        return self.inflight.enter(shard, self.assignment.revision)

    def leave(self, ticket: Ticket, may_run_until_s: float | None = None) -> None:
        """Count a request out; with a time if no answer came and it may run up to then."""
        self.inflight.leave(ticket, may_run_until_s)

    def facts(self) -> frozenset[Fact]:
        """Return all that the controller must know, anew each time until the record shows it."""
        facts: set[Fact] = {*self._handed_over, *self._released}
        for led in self._by_server.values():
            facts |= led.facts()
        return frozenset(facts)

    def states(self) -> dict[ServerId, str]:
        """Return the state of each leadership, for operators."""
        return {id: led.state.value for id, led in self._by_server.items()}

    def _may_act(self, now_s: float) -> bool:
        membership = self._membership
        return membership.has_right(now_s) and membership.incarnation == self._incarnation

    def _follow(
        self,
        record: ServerRecord,
        wanted: dict[ShardId, int],
        moving: dict[ShardId, int],
        now_s: float,
    ) -> None:
        led = self._by_server.get(record.id)
        if led is None or led.term != record.term:
            deadline_s = self._longest_deadline_s.get(record.service, DEFAULT_LONGEST_DEADLINE_S)
            led = ServerLeadership(record, deadline_s, self.inflight, now_s)
            self._by_server[record.id] = led
        led.apply(record, wanted, moving, self._shards_with_pins(), now_s)

    def _stop(self, record: ServerRecord) -> None:
        """Drop a leadership that is to be handed over, or was given to an earlier incarnation."""
        self._by_server.pop(record.id, None)
        if record.successor is not None:
            self._handed_over.add(HandedOver(record.id, record.term))

    def _keep_released(self, assignment: Assignment) -> None:
        """Keep stating what was released until the record has gone on."""
        stated = self._released | {f for f in self.facts() if isinstance(f, Released)}
        self._released = {
            fact
            for fact in stated
            if (record := assignment.shards_by_id.get(fact.shard)) is not None
            and record.state is ShardState.MOVING
            and record.epoch == fact.epoch
        }

    def _shards_with_pins(self) -> frozenset[ShardId]:
        assert self.assignment is not None
        pins = self.assignment.pins_by_key
        parents = {self.assignment.hash_shard_for(*key) for key in pins}
        return frozenset(pins.values()) | frozenset(p for p in parents if p is not None)


def _shards_by_server(
    assignment: Assignment,
) -> tuple[dict[ServerId, dict[ShardId, int]], dict[ServerId, dict[ShardId, int]]]:
    """Return epochs by shard of the shards to grant, and of those to release, by server."""
    wanted: dict[ServerId, dict[ShardId, int]] = {}
    moving: dict[ServerId, dict[ShardId, int]] = {}
    for id, shard in assignment.shards_by_id.items():
        if shard.owner is None:
            continue
        target = wanted if shard.state is ShardState.ASSIGNED else moving
        target.setdefault(shard.owner, {})[id] = shard.epoch
    return wanted, moving
