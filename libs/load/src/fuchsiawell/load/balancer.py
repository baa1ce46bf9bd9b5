"""Decide which few shards and keys to move so that servers are equally busy."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiawell.core import shard_of
from fuchsiawell.load.budget import Budget
from fuchsiawell.load.report import HALF_LIFE_S
from fuchsiawell.load.service_view import ServiceView
from fuchsiawell.ownership.assignment import ShardState
from fuchsiawell.ownership.evidence import MoveShard, PinKey, UnpinKey

if TYPE_CHECKING:
    from fuchsiawell.core import ServerId, ServiceName, ShardId
    from fuchsiawell.load.cell_load import CellLoad
    from fuchsiawell.load.service_view import Unit
    from fuchsiawell.load.weights import BalanceWeights
    from fuchsiawell.ownership.assignment import Assignment
    from fuchsiawell.ownership.evidence import Request

__all__ = ["Balancer", "ServiceBalancer"]

TARGETS_TRIED = 3  # idlest servers tried for each unit
MAX_PINS = 256  # of a service; bounds the assignment record
MAX_STEPS = 64  # decisions for a service in one call
COOL_LOAD = 0.01  # of a mean server's load, below which a pinned key has cooled
COOL_S = 60.0  # for which it must stay cool
IDLE_LOAD = 0.15  # of the busiest server, below which differences are a few requests of chance
PRESSURE = 0.6  # busy share of a server from which queueing grows quickly
OVERLOAD = 0.85  # busy share at which requests miss their deadlines
MIN_RELUCTANCE = 0.2  # of a move's cost, counted even then
FORGOTTEN_HALF_LIVES = 8  # after which a transfer no longer shows in the measured load


@dataclass(frozen=True, slots=True)
class _Choice:
    unit: Unit
    source: ServerId
    target: ServerId
    score: float


@dataclass(frozen=True, slots=True)
class _Transfer:
    """Remember load that still shows under the shard that it has left."""

    service: ServiceName
    key: str
    home: ShardId
    busy: float
    at_s: float


class Balancer:
    """Propose moves, pins and unpins for each service, by the goal that its operators named."""

    def __init__(self, weights_by_service: dict[ServiceName, BalanceWeights], now_s: float) -> None:
        self._by_service = {
            service: ServiceBalancer(weights, now_s)
            for service, weights in weights_by_service.items()
        }

    def propose(self, load: CellLoad, assignment: Assignment, now_s: float) -> list[Request]:
        """Return what is worth doing now; each decision stands alone and may be dropped."""
        return [
            decision
            for service, balancer in self._by_service.items()
            if service in assignment.shard_count_by_service
            for decision in balancer.propose(service, load, assignment, now_s)
        ]


class ServiceBalancer:
    """Level the servers of one service; holds only timers, budgets and its own latest pins.

    A new controller starts with a full budget for one minute and no timers, so a change of
    controller can delay a move but not multiply it beyond one more minute's budget.
    """

    def __init__(self, weights: BalanceWeights, now_s: float) -> None:
        self._weights = weights
        self._key_moves = Budget(weights.key_moves_per_min, now_s)
        self._shard_moves = Budget(weights.shard_moves_per_min, now_s)
        self._over_since_s: float | None = None
        self._cool_since_by_shard: dict[ShardId, float] = {}
        self._transfers: list[_Transfer] = []

    def propose(
        self, service: ServiceName, load: CellLoad, assignment: Assignment, now_s: float
    ) -> list[Request]:
        """Return what is worth doing now for `service`."""
        corrected = self._correct(load, assignment, now_s)
        view = ServiceView(service, assignment, corrected)
        if not view.busy_by_server:
            return []
        decisions = self._level(view, now_s) if self._due(view, now_s) else []
        return decisions + self._cool(view, assignment, corrected, now_s)

    def _due(self, view: ServiceView, now_s: float) -> bool:
        """Tell whether the imbalance has exceeded the trigger for long enough, or refuses work."""
        busiest = max(map(view.load, view.busy_by_server))
        if busiest < IDLE_LOAD or view.imbalance() < self._weights.trigger:
            self._over_since_s = None
            return False
        if self._over_since_s is None:
            self._over_since_s = now_s
        if busiest >= OVERLOAD:
            return True
        return now_s - self._over_since_s >= self._weights.sustain_s

    def _level(self, view: ServiceView, now_s: float) -> list[Request]:
        decisions: list[Request] = []
        pins_left = MAX_PINS - sum(1 for _ in view.pins())
        while len(decisions) < MAX_STEPS and view.imbalance() > self._weights.settled:
            choice = self._best(view, pins_left > 0, now_s)
            if choice is None:
                break
            self._budget(choice.unit).take(now_s)
            view.apply(choice.unit, choice.source, choice.target)
            decision = _decision(choice)
            if isinstance(decision, PinKey):
                pins_left -= 1
                self._remember(choice, decision, now_s)
            decisions.append(decision)
        return decisions

    def _best(self, view: ServiceView, may_pin: bool, now_s: float) -> _Choice | None:
        """Return the best move from the busiest server from which any move is worth its cost.

        Moves of one key go before moves of a shard of many, unless the server is overloaded.
        """
        reference = view.reference_load()
        targets = view.idlest_first()[:TARGETS_TRIED]
        for source in view.busiest_first():
            if view.load(source) <= self._weights.settled * reference:
                return None
            choices = [
                choice
                for unit in view.units(source)
                if (may_pin or unit.key is None) and self._budget(unit).has(now_s)
                for target in targets
                if target != source
                and (choice := self._weigh(view, unit, source, target)) is not None
            ]
            if choices and view.load(source) >= OVERLOAD:
                return max(choices, key=lambda choice: choice.score)
            if choices:
                return max(choices, key=lambda choice: (choice.unit.is_one_key, choice.score))
        return None

    def _budget(self, unit: Unit) -> Budget:
        return self._key_moves if unit.is_one_key else self._shard_moves

    def _weigh(
        self, view: ServiceView, unit: Unit, source: ServerId, target: ServerId
    ) -> _Choice | None:
        before = view.load(source)
        after = max(view.load_after(source, -unit.busy), view.load_after(target, unit.busy))
        cost = self._weights.key_cost if unit.is_one_key else self._weights.shard_cost
        score = (before - after) / view.mean_load() - cost * _reluctance(before)
        return _Choice(unit, source, target, score) if score > 0 else None

    def _cool(
        self, view: ServiceView, assignment: Assignment, load: CellLoad, now_s: float
    ) -> list[Request]:
        """Send keys that have cooled back home, then unpin them."""
        decisions: list[Request] = []
        slots = sum(view.slots_by_server.values()) / len(view.slots_by_server)
        limit = COOL_LOAD * view.mean_load() * slots
        for key, shard in view.pins():
            if load.busy_by_shard.get(shard, 0.0) > limit:
                self._cool_since_by_shard.pop(shard, None)
                continue
            since_s = self._cool_since_by_shard.setdefault(shard, now_s)
            if now_s - since_s < COOL_S:
                continue
            decision = _homeward(assignment, view.service, key, shard)
            if isinstance(decision, UnpinKey) or (decision and self._key_moves.take(now_s)):
                decisions.append(decision)
        return decisions

    def _remember(self, choice: _Choice, pin: PinKey, now_s: float) -> None:
        transfer = _Transfer(pin.service, pin.key, choice.unit.shard, choice.unit.busy, now_s)
        self._transfers.append(transfer)

    def _correct(self, load: CellLoad, assignment: Assignment, now_s: float) -> CellLoad:
        """Return the load as it will show once the measured means have followed the pins."""
        self._transfers = [
            transfer
            for transfer in self._transfers
            if now_s - transfer.at_s < FORGOTTEN_HALF_LIVES * HALF_LIFE_S
            and (transfer.service, transfer.key) in assignment.pins_by_key
        ]
        busy_by_shard = dict(load.busy_by_shard)
        for transfer in self._transfers:
            left = transfer.busy * 0.5 ** ((now_s - transfer.at_s) / HALF_LIFE_S)
            pin = assignment.pins_by_key[transfer.service, transfer.key]
            home = busy_by_shard.get(transfer.home, 0.0)
            busy_by_shard[transfer.home] = max(0.0, home - left)
            busy_by_shard[pin] = busy_by_shard.get(pin, 0.0) + left
        return replace(load, busy_by_shard=busy_by_shard)


def _reluctance(load: float) -> float:
    """Return the part of a move's cost to count: less, the nearer the source is to overload."""
    return min(1.0, max(MIN_RELUCTANCE, (OVERLOAD - load) / (OVERLOAD - PRESSURE)))


def _decision(choice: _Choice) -> MoveShard | PinKey:
    unit = choice.unit
    if unit.key is None:
        return MoveShard(unit.shard, choice.target)
    return PinKey(unit.shard.service, unit.key, choice.target)


def _homeward(
    assignment: Assignment, service: ServiceName, key: str, pin: ShardId
) -> MoveShard | UnpinKey | None:
    home = shard_of(service, key, assignment.shard_count_by_service[service])
    home_record = assignment.shards_by_id.get(home)
    pin_record = assignment.shards_by_id.get(pin)
    if home_record is None or pin_record is None or home_record.owner is None:
        return None
    if {home_record.state, pin_record.state} != {ShardState.ASSIGNED}:
        return None
    if home_record.owner == pin_record.owner:
        return UnpinKey(service, key)
    return MoveShard(pin, home_record.owner)
