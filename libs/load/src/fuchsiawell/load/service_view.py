"""A working copy of one service's load, on which moves are tried."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.ownership.assignment import FIRST_PIN_INDEX, ServerState, ShardState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from fuchsiawell.core import ServerId, ServiceName, ShardId
    from fuchsiawell.load.cell_load import CellLoad
    from fuchsiawell.ownership.assignment import Assignment

__all__ = ["ServiceView", "Unit"]

SERVING = (ServerState.ACTIVE, ServerState.JOINING)


@dataclass(frozen=True, slots=True)
class Unit:
    """Name what can be moved at once: a shard, or a hot key that would be pinned."""

    shard: ShardId  # of a key that is not pinned yet: its home shard
    key: str | None  # None: the shard as it is
    busy: float  # slots

    @property
    def is_one_key(self) -> bool:
        """Tell whether only one key changes its owner."""
        return self.key is not None or self.shard.index >= FIRST_PIN_INDEX


class ServiceView:
    """Hold the load of each active server of a service, by the units that make it up."""

    def __init__(self, service: ServiceName, assignment: Assignment, load: CellLoad) -> None:
        self.service = service
        self._assignment = assignment
        self._servers = [
            server
            for server in assignment.servers_by_id.values()
            if server.service == service and server.state in SERVING
        ]
        self.slots_by_server = {
            server.id: max(1, load.slots_by_server.get(server.id, 1)) for server in self._servers
        }
        self.busy_by_server = {server.id: 0.0 for server in self._servers}
        self._zone_by_server = {server.id: server.zone for server in self._servers}
        self._units_by_server: dict[ServerId, list[Unit]] = {s.id: [] for s in self._servers}
        self._add_shards(load)
        self._add_keys(load)

    def load(self, server: ServerId) -> float:
        """Return the share of the server's slots that is busy."""
        return self.busy_by_server[server] / self.slots_by_server[server]

    def mean_load(self) -> float:
        """Return the busy share of all slots of the service."""
        slots = sum(self.slots_by_server.values())
        return sum(self.busy_by_server.values()) / slots if slots else 0.0

    def reference_load(self) -> float:
        """Return the load that the busiest server cannot be brought below.

        That is the mean, or the load of the hottest unit alone on a server.
        """
        hottest = max(
            (
                unit.busy / self.slots_by_server[server]
                for server, units in self._units_by_server.items()
                for unit in units
                if unit.is_one_key
            ),
            default=0.0,
        )
        return max(self.mean_load(), hottest)

    def imbalance(self) -> float:
        """Return the busiest server's load over the reference; 1 if nothing is busy."""
        reference = self.reference_load()
        return max(map(self.load, self.busy_by_server)) / reference if reference > 0 else 1.0

    def busiest_first(self) -> list[ServerId]:
        """Return the active servers, busiest first."""
        return sorted(self.busy_by_server, key=lambda server: (-self.load(server), server))

    def idlest_first(self) -> list[ServerId]:
        """Return the active servers, idlest first; of equal ones that in the idlest zone."""
        zone_load = {zone: self.zone_load(zone) for zone in set(self._zone_by_server.values())}
        return sorted(
            self.busy_by_server,
            key=lambda id: (round(self.load(id), 2), zone_load[self._zone_by_server[id]], id),
        )

    def zone_load(self, zone: str) -> float:
        """Return the busy share of all slots in `zone`."""
        servers = [id for id, found in self._zone_by_server.items() if found == zone]
        slots = sum(self.slots_by_server[server] for server in servers)
        return sum(self.busy_by_server[server] for server in servers) / slots

    def units(self, server: ServerId) -> Iterable[Unit]:
        """Return what can be moved away from `server`."""
        return self._units_by_server[server]

    def load_after(self, server: ServerId, extra: float) -> float:
        """Return the server's load with `extra` busy slots more."""
        return (self.busy_by_server[server] + extra) / self.slots_by_server[server]

    def apply(self, unit: Unit, source: ServerId | None, target: ServerId) -> None:
        """Move `unit`, which then counts as moved and is offered no more."""
        if source is not None:
            self.busy_by_server[source] -= unit.busy
            kept = [u for u in self._units_by_server[source] if not _overlap(u, unit)]
            self._units_by_server[source] = kept
        self.busy_by_server[target] += unit.busy

    def pins(self) -> Iterator[tuple[str, ShardId]]:
        """Yield each pinned key of the service and its shard."""
        for (service, key), shard in self._assignment.pins_by_key.items():
            if service == self.service:
                yield key, shard

    def _add_shards(self, load: CellLoad) -> None:
        for id, record in self._assignment.shards_by_id.items():
            owner = record.moving_to or record.owner
            if id.service != self.service or owner not in self.busy_by_server:
                continue
            busy = load.busy_by_shard.get(id, 0.0)
            self.busy_by_server[owner] += busy
            if record.state is ShardState.ASSIGNED and busy > 0:
                self._units_by_server[owner].append(Unit(id, None, busy))

    def _add_keys(self, load: CellLoad) -> None:
        for (service, key), busy in load.busy_by_key.items():
            if service != self.service or (service, key) in self._assignment.pins_by_key:
                continue
            home = self._assignment.shard_for(service, key)
            record = None if home is None else self._assignment.shards_by_id.get(home)
            if home is None or record is None or record.state is not ShardState.ASSIGNED:
                continue
            if record.owner in self.busy_by_server:
                capped = min(busy, load.busy_by_shard.get(home, 0.0))
                self._units_by_server[record.owner].append(Unit(home, key, capped))


def _overlap(one: Unit, other: Unit) -> bool:
    """Tell whether moving `other` changes `one`: a shard and a key of its own."""
    return one.shard == other.shard and (one.key == other.key or None in (one.key, other.key))
