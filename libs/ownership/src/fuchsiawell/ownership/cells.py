"""The fleet table: which cell serves a key, for fleets of more than one cell."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import msgpack

from fuchsiawell.core import CellName, FuchsiawellError, ServiceName

__all__ = [
    "FLEET_KEY",
    "CellRecord",
    "FleetTable",
    "FleetTableError",
    "KeyRange",
    "decode_fleet_table",
    "encode_fleet_table",
    "newer_table",
    "position_of",
]

FLEET_KEY = "fleet/cells"  # of the store's value
FORMAT = 1
POSITIONS = 1 << 64  # a key's position is a number below this


class FleetTableError(FuchsiawellError):
    """Report a fleet table that is malformed or contradicts itself."""


@dataclass(frozen=True, slots=True)
class CellRecord:
    """Say where a cell is, and at which address any of its daemons can be reached."""

    name: CellName
    region: str
    address: str  # IP number and port of the platform's balancer in front of the cell


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Give the keys from position `first`, up to the service's next range, to a cell."""

    service: ServiceName
    first: int
    cell: CellName


@dataclass(frozen=True)
class FleetTable:
    """Map every key of every service to one cell; changed by operators only, versions go up.

    The table names cells and not daemons, so that it changes with neither a restart nor a move
    inside a cell.
    """

    version: int
    cells_by_name: dict[CellName, CellRecord]
    ranges: tuple[KeyRange, ...]
    _firsts_by_service: dict[ServiceName, list[int]] = field(init=False, repr=False, compare=False)
    _cells_by_service: dict[ServiceName, list[CellName]] = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        """Build the lookup lists, or raise `FleetTableError`."""
        object.__setattr__(self, "_firsts_by_service", {})
        object.__setattr__(self, "_cells_by_service", {})
        for key_range in self.ranges:
            self._add(key_range)
        for service, firsts in self._firsts_by_service.items():
            if firsts[0] != 0:
                raise FleetTableError("check fleet table", service, "no cell for position 0")

    def cell_for(self, service: ServiceName, key: str) -> CellRecord | None:
        """Return the one cell that serves the key; `None` for an unknown service."""
        firsts = self._firsts_by_service.get(service)
        if firsts is None:
            return None
        index = bisect_right(firsts, position_of(key)) - 1
        return self.cells_by_name[self._cells_by_service[service][index]]

    def _add(self, key_range: KeyRange) -> None:
        service = key_range.service
        firsts = self._firsts_by_service.setdefault(service, [])
        if key_range.cell not in self.cells_by_name:
            raise FleetTableError("check fleet table", service, f"no cell {key_range.cell}")
        if not 0 <= key_range.first < POSITIONS:
            raise FleetTableError("check fleet table", service, f"position {key_range.first}")
        if firsts and key_range.first <= firsts[-1]:
            raise FleetTableError("check fleet table", service, "ranges are not in order")
        firsts.append(key_range.first)
        self._cells_by_service.setdefault(service, []).append(key_range.cell)


def position_of(key: str) -> int:
    """Return the key's place among all keys; stable across processes and releases."""
    return int.from_bytes(blake2b(key.encode(), digest_size=8).digest(), "big")


def newer_table(held: FleetTable | None, received: FleetTable) -> FleetTable:
    """Return the table of the higher version, the held one if they are equal."""
    return received if held is None or received.version > held.version else held


def encode_fleet_table(table: FleetTable) -> bytes:
    """Return the table as msgpack."""
    cells = [[c.name, c.region, c.address] for _, c in sorted(table.cells_by_name.items())]
    ranges = [[r.service, r.first, r.cell] for r in table.ranges]
    return bytes(msgpack.packb([FORMAT, table.version, cells, ranges]))


def decode_fleet_table(value: bytes, peer: str) -> FleetTable:
    """Return the table that `peer` sent, or raise `FleetTableError`."""
    try:
        found, version, cells, ranges = msgpack.unpackb(value)
        if found != FORMAT:
            raise ValueError(f"format {found}, this program reads {FORMAT}")
        return _from_fields(version, cells, ranges)
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        raise FleetTableError("decode fleet table", peer, str(error)) from error


def _from_fields(version: int, cells: list[Any], ranges: list[Any]) -> FleetTable:
    return FleetTable(
        version,
        {CellName(c[0]): CellRecord(CellName(c[0]), c[1], c[2]) for c in cells},
        tuple(KeyRange(ServiceName(r[0]), r[1], CellName(r[2])) for r in ranges),
    )
