"""What a cell's records cost: assignment, routes, controller, balancer, configuration, fleet."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from fuchsiawell.bench.capacity.slopes import cpu_us, memory_bytes, report
from fuchsiawell.config.codec import decode_configuration, encode_configuration
from fuchsiawell.config.configuration import Configuration, Goal, Kind, Service
from fuchsiawell.core import CellName, DaemonId, ServerId, ServiceName, ShardId
from fuchsiawell.load import IMBALANCE_FIRST, Balancer, CellLoad
from fuchsiawell.ownership.assignment import (
    FIRST_PIN_INDEX,
    Assignment,
    ServerRecord,
    ServerState,
    ShardRecord,
    ShardState,
)
from fuchsiawell.ownership.cells import (
    POSITIONS,
    CellRecord,
    FleetTable,
    KeyRange,
    decode_fleet_table,
    encode_fleet_table,
)
from fuchsiawell.ownership.codec import decode_assignment, encode_assignment

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiawell.bench.measurement import Measurement

__all__ = ["measure_assignment", "measure_configuration", "measure_fleet"]

SERVICE = ServiceName("status-desk")
SHARD_COUNTS = (256, 1024, 4096)
PIN_COUNTS = (0, 64, 256)
SERVER_COUNTS = (20, 80, 320)
KIND_COUNTS = (8, 32, 128)
CELL_COUNTS = (12, 142, 568)
SERVERS = 160
SLOTS = 4


def assignment_of(shards: int, pins: int = 0, servers: int = SERVERS) -> Assignment:
    """Return a record of one service with evenly spread shards and pins."""
    ids = [ServerId(f"status-desk-{number}") for number in range(servers)]
    members = tuple(DaemonId(f"daemon-{number}") for number in range(12))
    servers_by_id = {
        id: ServerRecord(
            id,
            SERVICE,
            f"10.0.{number // 250}.{number % 250}:8080",
            f"zone-{number % 3}",
            members[number % 12],
            7,
            ServerState.ACTIVE,
            checks_fence=True,
        )
        for number, id in enumerate(ids)
    }
    indexes = [*range(shards), *range(FIRST_PIN_INDEX, FIRST_PIN_INDEX + pins)]
    shards_by_id = {
        ShardId(SERVICE, index): ShardRecord(ids[index % servers], 40, ShardState.ASSIGNED)
        for index in indexes
    }
    pins_by_key = {
        (SERVICE, f"order-{number:08}"): ShardId(SERVICE, FIRST_PIN_INDEX + number)
        for number in range(pins)
    }
    return Assignment(
        cell=CellName("moshi"),
        controller=members[0],
        controller_term=3,
        members=members,
        shard_count_by_service={SERVICE: shards},
        servers_by_id=servers_by_id,
        shards_by_id=shards_by_id,
        pins_by_key=pins_by_key,
    )


def measure_assignment() -> Iterator[Measurement]:
    """Yield bytes, memory and processor time of the record, by shards, pins and servers."""
    by_shards = {count: assignment_of(count) for count in SHARD_COUNTS}
    yield from _measure_record("shard", by_shards)
    yield from _measure_record("pin", {pins: assignment_of(1024, pins) for pins in PIN_COUNTS})
    by_servers = {count: assignment_of(1024, servers=count) for count in SERVER_COUNTS}
    yield from _measure_record("server", by_servers)
    routes = [(n, cpu_us(partial(a.route, SERVICE, "order-1"))) for n, a in by_shards.items()]
    yield from report("route-cpu", "us", "shard", routes)
    balance = [(n, cpu_us(partial(_propose, a))) for n, a in by_shards.items()]
    yield from report("balance-cpu", "us", "shard", balance)


def measure_configuration() -> Iterator[Measurement]:
    """Yield the configuration's size by the kinds of request in it."""
    sizes = [(float(n), float(len(encode_configuration(_configuration(n))))) for n in KIND_COUNTS]
    yield from report("configuration-bytes", "B", "kind", sizes)
    values = {n: encode_configuration(_configuration(n)) for n in KIND_COUNTS}
    decodes = [(n, cpu_us(partial(decode_configuration, v, "bench"))) for n, v in values.items()]
    yield from report("configuration-decode-cpu", "us", "kind", decodes)


def measure_fleet() -> Iterator[Measurement]:
    """Yield what the table of cells costs, by the number of cells."""
    tables = {count: _fleet(count) for count in CELL_COUNTS}
    values = {count: encode_fleet_table(table) for count, table in tables.items()}
    sizes = [(float(n), float(len(value))) for n, value in values.items()]
    yield from report("fleet-table-bytes", "B", "cell", sizes)
    decodes = [(n, cpu_us(partial(decode_fleet_table, v, "bench"))) for n, v in values.items()]
    yield from report("fleet-table-decode-cpu", "us", "cell", decodes)
    lookups = [(n, cpu_us(partial(t.cell_for, SERVICE, "order-1"))) for n, t in tables.items()]
    yield from report("fleet-lookup-cpu", "us", "cell", lookups)


def _measure_record(per: str, records: dict[int, Assignment]) -> Iterator[Measurement]:
    values = {size: encode_assignment(record) for size, record in records.items()}
    sizes = [(float(size), float(len(value))) for size, value in values.items()]
    yield from report(f"assignment-bytes-by-{per}", "B", per, sizes)
    encodes = [(size, cpu_us(partial(encode_assignment, r))) for size, r in records.items()]
    yield from report(f"assignment-encode-cpu-by-{per}", "us", per, encodes)
    decodes = [
        (size, cpu_us(partial(decode_assignment, v, 1, "bench"))) for size, v in values.items()
    ]
    yield from report(f"assignment-decode-cpu-by-{per}", "us", per, decodes)
    memory = [
        (size, float(memory_bytes(partial(decode_assignment, v, 1, "bench"))))
        for size, v in values.items()
    ]
    yield from report(f"assignment-memory-by-{per}", "B", per, memory)


def _propose(assignment: Assignment) -> None:
    load = CellLoad(
        dict.fromkeys(assignment.servers_by_id, SLOTS),
        {id: 0.1 + (id.index % 7) / 100 for id in assignment.shards_by_id},
    )
    Balancer({SERVICE: IMBALANCE_FIRST}, 0.0).propose(load, assignment, 0.0)


def _configuration(kinds: int) -> Configuration:
    service = Service(
        SERVICE,
        shard_count=1024,
        slots=SLOTS,
        checks_fence=True,
        checks_deadline=True,
        goal=Goal.IMBALANCE,
        kinds_by_name={
            f"kind-{number}": Kind(f"kind-{number}", True, 2.0, 65_536) for number in range(kinds)
        },
    )
    zones = ("zone-0", "zone-1", "zone-2")
    return Configuration(7, CellName("moshi"), "kilimanjaro", zones, {SERVICE: service})


def _fleet(cells: int) -> FleetTable:
    names = [CellName(f"cell-{number}") for number in range(cells)]
    records = {
        name: CellRecord(name, f"region-{number % 3}", f"10.9.{number // 250}.{number % 250}:80")
        for number, name in enumerate(names)
    }
    step = POSITIONS // cells
    ranges = tuple(KeyRange(SERVICE, number * step, name) for number, name in enumerate(names))
    return FleetTable(1, records, ranges)
