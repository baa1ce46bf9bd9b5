"""The faults of the matrix: how each begins and how it ends."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiawell.core import DaemonId, ServerId
from fuchsiawell.ownership import MoveShard
from fuchsiawell.platform import HostState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiawell.bench.faults.daemon import Daemon
    from fuchsiawell.bench.faults.network import Node
    from fuchsiawell.bench.faults.world import World

__all__ = ["FAULTS", "Injection"]

CONTROLLER = DaemonId("d0")
LEADERS = (DaemonId("d1"), DaemonId("d4"))  # lead the servers of the zone that the steps are about
OLD_OWNERS = (ServerId("p1"), ServerId("p3"), ServerId("r1"))
NEW_OWNERS = (ServerId("p2"), ServerId("r2"))
LOST_ZONE = "saweni"


@dataclass(frozen=True, slots=True)
class Injection:
    """Describe one fault."""

    name: str
    begin: Callable[[World], Awaitable[None]]
    end: Callable[[World], Awaitable[None]] | None = None
    lasts_s: float = 0.0
    is_bounded: bool = True  # service is to be back within the target after it began


async def _nothing(world: World) -> None:
    """Do nothing."""


def _leader(world: World) -> Daemon:
    """Return the first leader that lives; of a pair of faults, the first may have killed both."""
    live = [world.daemons[id] for id in LEADERS if world.daemons[id].alive]
    return live[0] if live else world.daemons[CONTROLLER]


def _cut(world: World, node: Node, others: list[Node], outward: bool, inward: bool) -> None:
    for other in others:
        if outward:
            world.parts.network.cut(node.name, other.name)
        if inward:
            world.parts.network.cut(other.name, node.name)


def _others(world: World, node: Node) -> list[Node]:
    daemons: list[Node] = [d for d in world.daemons.values() if d is not node]
    return [*daemons, world.parts.store]


async def _heal(world: World) -> None:
    world.parts.network.heal()


async def _kill_leader(world: World) -> None:
    await _leader(world).kill()


async def _kill_controller(world: World) -> None:
    await world.daemons[CONTROLLER].kill()


async def _restart_dead(world: World) -> None:
    for daemon in world.daemons.values():
        if not daemon.alive:
            daemon.restart()


async def _pause_leader(world: World) -> None:
    _leader(world).pause()


async def _pause_controller(world: World) -> None:
    world.daemons[CONTROLLER].pause()


async def _resume(world: World) -> None:
    for daemon in world.daemons.values():
        daemon.resume()


async def _part_leader(world: World) -> None:
    leader = _leader(world)
    _cut(world, leader, _others(world, leader), outward=True, inward=True)


async def _deafen_leader(world: World) -> None:
    leader = _leader(world)
    _cut(world, leader, _others(world, leader), outward=False, inward=True)


async def _mute_leader(world: World) -> None:
    leader = _leader(world)
    _cut(world, leader, _others(world, leader), outward=True, inward=False)


async def _part_controller(world: World) -> None:
    controller = world.daemons[CONTROLLER]
    _cut(world, controller, _others(world, controller), outward=True, inward=True)


async def _part_controller_from_store(world: World) -> None:
    _cut(world, world.daemons[CONTROLLER], [world.parts.store], outward=True, inward=True)


async def _part_leader_from_servers(world: World) -> None:
    servers: list[Node] = list(world.servers.values())
    _cut(world, _leader(world), servers, outward=True, inward=True)


async def _lag_hosts(world: World) -> None:
    hidden = {*NEW_OWNERS, "d2"}
    world.parts.hosts.shown = [host for host in world.hosts() if host.id not in hidden]


async def _empty_hosts(world: World) -> None:
    world.parts.hosts.shown = []


async def _true_hosts(world: World) -> None:
    world.parts.hosts.shown = world.hosts()


async def _leave_server(world: World) -> None:
    server = OLD_OWNERS[0]
    world.parts.hosts.shown = [
        replace(host, state=HostState.LEAVING) if host.id == server else host
        for host in world.hosts()
    ]
    world.checker.on_leaving(server, world.clock.monotonic())


async def _freeze_old(world: World) -> None:
    for id in OLD_OWNERS:
        world.servers[id].pause()


async def _freeze_new(world: World) -> None:
    for id in NEW_OWNERS:
        world.servers[id].pause()


async def _thaw(world: World) -> None:
    for server in world.servers.values():
        if server.paused:
            server.thaw()


async def _kill_old(world: World) -> None:
    world.servers[OLD_OWNERS[0]].kill()
    world.servers[OLD_OWNERS[2]].kill()


async def _kill_new(world: World) -> None:
    for id in NEW_OWNERS:
        world.servers[id].kill()


async def _store_down(world: World) -> None:
    world.parts.store.down = True


async def _store_slow(world: World) -> None:
    world.parts.store.delay_s = 1.0


async def _store_well(world: World) -> None:
    world.parts.store.down = False
    world.parts.store.delay_s = 0.001


async def _lose_answer(world: World) -> None:
    world.parts.store.lose_next_answer = True


async def _second_operator(world: World) -> None:
    """Ask for every shard of the old owners to go elsewhere, and accept the same version."""
    await world.accept(2)
    elsewhere = {"penwatch": ServerId("p0"), "reelhouse": ServerId("r0")}
    moves = tuple(
        MoveShard(id, elsewhere[id.service])
        for id, shard in sorted(world.record.shards_by_id.items())
        if shard.owner in OLD_OWNERS
    )
    world.daemons[DaemonId("d2")].control.ask(moves)


async def _lose_zone(world: World) -> None:
    for daemon in world.daemons.values():
        if daemon.zone == LOST_ZONE and daemon.alive:
            await daemon.kill()
    for server in world.servers.values():
        if server.zone == LOST_ZONE:
            server.kill()


async def _silence_connections(world: World) -> None:
    leader = _leader(world)
    everyone = [*_others(world, leader), *world.servers.values()]
    _cut(world, leader, everyone, outward=True, inward=True)


async def _restart_cell(world: World) -> None:
    for daemon in world.daemons.values():
        if daemon.alive:
            await daemon.kill()


FAULTS: tuple[Injection, ...] = (
    Injection("none", _nothing),
    Injection("leader killed", _kill_leader),
    Injection("leader killed, starts again", _kill_leader, _restart_dead, 2.0),
    Injection("controller killed", _kill_controller),
    Injection("leader paused for 0.5 s", _pause_leader, _resume, 0.5),
    Injection("leader paused past its right", _pause_leader, _resume, 3.0),
    Injection("controller paused past its right", _pause_controller, _resume, 3.0),
    Injection("leader parted from daemons and store", _part_leader, _heal, 3.0),
    Injection("leader hears nobody", _deafen_leader, _heal, 3.0),
    Injection("leader heard by nobody", _mute_leader, _heal, 3.0),
    Injection("leader parted from its servers", _part_leader_from_servers, _heal, 3.0),
    Injection("controller parted from daemons and store", _part_controller, _heal, 3.0),
    Injection("controller parted from store", _part_controller_from_store, _heal, 4.0, False),
    Injection("connections of the leader silent for 0.5 s", _silence_connections, _heal, 0.5),
    Injection("host list leaves out the new owner", _lag_hosts, _true_hosts, 4.0),
    Injection("host list empty", _empty_hosts, _true_hosts, 4.0),
    Injection("old owner leaves", _leave_server),
    Injection("old owners frozen, return", _freeze_old, _thaw, 4.0),
    Injection("new owners frozen, return", _freeze_new, _thaw, 4.0),
    Injection("old owners killed", _kill_old),
    Injection("new owners killed", _kill_new),
    Injection("store down for 4 s", _store_down, _store_well, 4.0, False),
    Injection("store slow by 1 s", _store_slow, _store_well, 4.0, False),
    Injection("answer of the next write lost", _lose_answer, is_bounded=False),
    Injection("two operators at once", _second_operator),
    Injection("zone lost", _lose_zone),
    Injection("whole cell starts again", _restart_cell, _restart_dead, 0.5, False),
)
