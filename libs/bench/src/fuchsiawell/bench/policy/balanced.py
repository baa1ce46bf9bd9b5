"""The project's own policy, run on the assignment record by its real decision code."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from fuchsiawell.bench.policy.routing import MOVE_S, SHARDS, ShardRouter
from fuchsiawell.core import CellName, DaemonId, ServerId, ShardId
from fuchsiawell.load.balancer import Balancer
from fuchsiawell.load.cell_load import merge_reports
from fuchsiawell.load.placement import evacuate
from fuchsiawell.load.report import LoadMeter
from fuchsiawell.load.weights import weights_for
from fuchsiawell.ownership.assignment import (
    FIRST_PIN_INDEX,
    Assignment,
    ServerRecord,
    ServerState,
    ShardRecord,
    ShardState,
)
from fuchsiawell.ownership.evidence import MoveShard, PinKey, UnpinKey

if TYPE_CHECKING:
    from fuchsiawell.bench.policy.traces import Trace
    from fuchsiawell.load.cell_load import CellLoad
    from fuchsiawell.load.weights import BalanceWeights
    from fuchsiawell.ownership.evidence import Request

__all__ = ["BalancedMoves"]

LEADERS = 12


class BalancedMoves(ShardRouter):
    """Drive load meters, reports, balancer and placement as leaders and controller do."""

    name = "balanced"

    def __init__(self, trace: Trace, weights: BalanceWeights | None = None) -> None:
        super().__init__(trace)
        service = self.site.service
        self._service = service
        self._weights = weights or weights_for(self.site.goal)
        self._balancer = Balancer({service: self._weights}, 0.0)
        self._meters = [LoadMeter(0.0) for _ in range(LEADERS)]
        self._key_names = [f"key-{key}" for key in range(self.site.keys)]
        self._key_by_name = {name: key for key, name in enumerate(self._key_names)}
        self._shard_ids = [ShardId(service, index) for index in range(SHARDS)]
        self._pin_by_key: dict[int, ShardId] = {}
        self._next_pin = FIRST_PIN_INDEX
        self._assignment = self._first_assignment()
        self._ready_by_pin: dict[ShardId, float] = {}

    def route(self, key: int, now_s: float) -> tuple[int, float]:
        """Return the owner of the key's own shard if it is pinned, else of its home shard."""
        pin = self._pin_by_key.get(key)
        if pin is None:
            return super().route(key, now_s)
        owner = self._assignment.shards_by_id[pin].owner
        return _number(owner), self._ready_by_pin.get(pin, 0.0)

    def record(self, server: int, key: int, busy_s: float, now_s: float) -> None:
        """Count busy time at the server's leader."""
        shard = self._pin_by_key.get(key) or self._shard_ids[self.shard_by_key[key]]
        meter = self._meters[server % LEADERS]
        meter.record(_id(server), shard, self._key_names[key], busy_s, now_s)

    def tick(self, now_s: float) -> None:
        """Merge the leaders' reports, ask the balancer, and apply what it proposes."""
        load = self._load(now_s)
        for decision in self._balancer.propose(load, self._assignment, now_s):
            self._apply(decision, now_s)

    def lost(self, server: int, now_s: float) -> None:
        """Place the shards of the lost server."""
        super().lost(server, now_s)
        self._set_state(server, ServerState.LOST)
        for move in evacuate(self._load(now_s), self._assignment):
            self._apply(move, now_s)

    def returned(self, server: int, now_s: float) -> None:
        """Let the balancer use the server again."""
        super().returned(server, now_s)
        self._set_state(server, ServerState.ACTIVE)

    def _first_assignment(self) -> Assignment:
        servers = {
            _id(number): ServerRecord(
                _id(number),
                self._service,
                "127.0.0.1:1",
                self.site.zone_of(number),
                DaemonId(f"d{number % LEADERS}"),
                1,
                ServerState.ACTIVE,
                checks_fence=True,
            )
            for number in range(self.site.servers)
        }
        shards = {
            self._shard_ids[shard]: ShardRecord(_id(owner), 1, ShardState.ASSIGNED)
            for shard, owner in enumerate(self.owner_by_shard)
        }
        counts = {self._service: SHARDS}
        return Assignment(CellName("bench"), None, 1, (), counts, servers, shards)

    def _load(self, now_s: float) -> CellLoad:
        reports = []
        for leader, meter in enumerate(self._meters):
            led = [s for s in range(self.site.servers) if s % LEADERS == leader]
            queues = [(_id(server), self.usable_slots(server, now_s), 0) for server in led]
            reports.append(meter.report(DaemonId(f"d{leader}"), queues, now_s))
        return merge_reports(reports)

    def _set_state(self, server: int, state: ServerState) -> None:
        servers = self._assignment.servers_by_id
        servers[_id(server)] = replace(servers[_id(server)], state=state)

    def _apply(self, decision: Request, now_s: float) -> None:
        match decision:
            case MoveShard(shard, to):
                self._move_shard(shard, to, now_s)
            case PinKey(_, key, to):
                self._pin(self._key_by_name[key], to, now_s)
            case UnpinKey(_, key):
                self._unpin(self._key_by_name[key])

    def _move_shard(self, shard: ShardId, to: ServerId, now_s: float) -> None:
        shards = self._assignment.shards_by_id
        was_lost = _number(shards[shard].owner) not in self.live
        shards[shard] = ShardRecord(to, shards[shard].epoch + 1, ShardState.ASSIGNED)
        if shard.index >= FIRST_PIN_INDEX:
            self.keys_moved += 1
            self.keys_moved_by_loss += was_lost
            self._ready_by_pin[shard] = now_s + MOVE_S
        else:
            self.move(shard.index, _number(to), now_s)

    def _pin(self, key: int, to: ServerId, now_s: float) -> None:
        pin = ShardId(self._service, self._next_pin)
        self._next_pin += 1
        home = self._assignment.shards_by_id[self._shard_ids[self.shard_by_key[key]]]
        self._assignment.shards_by_id[pin] = home
        self._assignment.pins_by_key[self._service, self._key_names[key]] = pin
        self._pin_by_key[key] = pin
        self.keys_by_shard[self.shard_by_key[key]] -= 1
        self._move_shard(pin, to, now_s)

    def _unpin(self, key: int) -> None:
        pin = self._pin_by_key.pop(key)
        del self._assignment.pins_by_key[self._service, self._key_names[key]]
        del self._assignment.shards_by_id[pin]
        self.keys_by_shard[self.shard_by_key[key]] += 1


def _id(number: int) -> ServerId:
    return ServerId(f"s{number}")


def _number(server: ServerId | None) -> int:
    return int(str(server)[1:])
