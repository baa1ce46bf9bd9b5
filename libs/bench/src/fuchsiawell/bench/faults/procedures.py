"""The procedures of ownership, each as a list of steps that a run can be caught at."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from fuchsiawell.bench.faults.world import CHECKED, KEYS, UNCHECKED, World
from fuchsiawell.core import DaemonId, NotRunReason, ServerId
from fuchsiawell.ownership import MoveShard, Released, ShardState

if TYPE_CHECKING:
    from fuchsiawell.core import ServiceName, ShardId

__all__ = ["PROCEDURES", "Acceptance", "Move", "Procedure", "TakeOver"]

ASK_S = 0.5  # an operator asks again until the move is made
SOURCE_ZONE = "saweni"  # of the servers whose shards move, and of their leaders
TARGETS = {CHECKED: ServerId("p2"), UNCHECKED: ServerId("r2")}


class Procedure(ABC):
    """Something that the cell does step by step."""

    name: str
    steps: tuple[str, ...]

    def __init__(self, world: World) -> None:
        self.world = world

    @abstractmethod
    async def begin(self) -> None:
        """Set it off."""

    @abstractmethod
    def reached(self, step: str) -> bool:
        """Tell whether the step has been reached."""

    @abstractmethod
    def done(self) -> bool:
        """Tell whether it came to its end, whatever happened meanwhile."""


class Move(Procedure):
    """One shard of each kind of server moves to another zone."""

    name = "move"
    steps = ("asked", "recorded as moving", "released", "recorded as assigned", "served")

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.targets_by_shard = {
            self._shard(service): target for service, target in TARGETS.items()
        }

    async def begin(self) -> None:
        """Ask for both moves."""
        self.world.spawn(self._ask_forever())

    def reached(self, step: str) -> bool:
        """Tell by the record, the leaders' facts, and what a leader may send."""
        shard, target = next(iter(self.targets_by_shard.items()))
        record = self.world.record.shards_by_id[shard]
        match step:
            case "asked":
                return True
            case "recorded as moving":
                return record.state is ShardState.MOVING
            case "released":
                return any(
                    isinstance(fact, Released) and fact.shard == shard
                    for daemon in self.world.daemons.values()
                    for fact in daemon.control.leader.facts()
                )
            case "recorded as assigned":
                return record.owner == target
            case _:
                return record.owner == target and self._is_served(shard)

    def done(self) -> bool:
        """Tell whether both shards are served, by the target unless that was lost."""
        return all(self._is_served(shard) for shard in self.targets_by_shard)

    def _is_served(self, shard: ShardId) -> bool:
        return any(
            not isinstance(daemon.control.authority.permit(shard), NotRunReason)
            for daemon in self.world.daemons.values()
            if daemon.alive and not daemon.paused
        )

    def _shard(self, service: ServiceName) -> ShardId:
        """Return the shard of a caller's key that a server of the source zone owns."""
        record = self.world.record
        servers = record.servers_by_id
        for n in range(KEYS):
            route = record.route(service, f"{n}")
            if route is not None and route.server and route.server.zone == SOURCE_ZONE:
                return route.shard
        return next(
            id
            for id, shard in sorted(record.shards_by_id.items())
            if id.service == service
            and shard.owner is not None
            and servers[shard.owner].zone == SOURCE_ZONE
        )

    async def _ask_forever(self) -> None:
        while not all(
            self.world.record.shards_by_id[shard].owner == target
            for shard, target in self.targets_by_shard.items()
        ):
            moves = tuple(MoveShard(shard, to) for shard, to in self.targets_by_shard.items())
            for daemon in self.world.daemons.values():
                if daemon.alive and not daemon.paused:
                    daemon.control.ask(moves)
                    break
            await asyncio.sleep(ASK_S)


class TakeOver(Procedure):
    """A daemon dies, and others lead its servers."""

    name = "take-over"
    steps = ("leader killed", "loss proved", "successors recorded", "served again")
    victim = DaemonId("d1")

    async def begin(self) -> None:
        """Kill the leader."""
        await self.world.daemons[self.victim].kill()

    def reached(self, step: str) -> bool:
        """Tell by the controller's evidence, the record, and what leaders may send."""
        led = any(True for _ in self.world.record.led_by(self.victim))
        match step:
            case "leader killed":
                return True
            case "loss proved":
                now_s = self.world.clock.monotonic()
                membership = self.world.controller.control.membership
                return not led or self.victim in membership.lost_members(now_s)
            case "successors recorded":
                return not led
            case _:
                return not led and self.world.serves()

    def done(self) -> bool:
        """Tell whether every shard is served."""
        return self.world.serves()


class Acceptance(Procedure):
    """An operator puts a configuration in force."""

    name = "acceptance"
    steps = ("recorded", "held by the controller", "held by one more", "held by all")
    version = 2

    async def begin(self) -> None:
        """Write the configuration."""
        await self.world.accept(self.version)

    def reached(self, step: str) -> bool:
        """Tell by how many daemons hold it."""
        holders = [d for d in self.world.daemons.values() if self._holds(d.name)]
        match step:
            case "recorded":
                return True
            case "held by the controller":
                return self.world.controller in holders
            case "held by one more":
                return len(holders) > 1
            case _:
                return len(holders) == len(self.world.daemons)

    def done(self) -> bool:
        """Tell whether every live daemon holds it, and the cell serves."""
        held = all(self._holds(d.name) for d in self.world.daemons.values() if d.alive)
        return held and self.world.serves()

    def _holds(self, daemon: str) -> bool:
        held = self.world.daemons[DaemonId(daemon)].state.configuration
        return held is not None and held.version >= self.version


PROCEDURES: tuple[type[Procedure], ...] = (Move, TakeOver, Acceptance)
