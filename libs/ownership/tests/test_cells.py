from __future__ import annotations

from collections import Counter

import pytest

from fuchsiawell.core import CellName, ServiceName
from fuchsiawell.ownership.cells import (
    POSITIONS,
    CellRecord,
    FleetTable,
    FleetTableError,
    KeyRange,
    decode_fleet_table,
    encode_fleet_table,
    newer_table,
    position_of,
)

SERVICE = ServiceName("penwatch")
WEST, EAST = CellName("viti-west"), CellName("viti-east")
CELLS = {name: CellRecord(name, "fiji", "127.0.0.1:80") for name in (WEST, EAST)}
HALVES = (KeyRange(SERVICE, 0, WEST), KeyRange(SERVICE, POSITIONS // 2, EAST))
TABLE = FleetTable(3, CELLS, HALVES)


def test_every_key_has_one_cell_and_the_halves_are_even() -> None:
    cells = Counter(TABLE.cell_for(SERVICE, f"pen-{n}").name for n in range(2_000))  # type: ignore[union-attr]
    assert cells.total() == 2_000
    assert abs(cells[WEST] - cells[EAST]) < 200


def test_the_first_position_of_a_range_belongs_to_it() -> None:
    first = position_of("pen-7")
    ranges = (KeyRange(SERVICE, 0, WEST), KeyRange(SERVICE, first, EAST))
    assert FleetTable(1, CELLS, ranges).cell_for(SERVICE, "pen-7") == CELLS[EAST]
    ranges = (KeyRange(SERVICE, 0, WEST), KeyRange(SERVICE, first + 1, EAST))
    assert FleetTable(1, CELLS, ranges).cell_for(SERVICE, "pen-7") == CELLS[WEST]


def test_an_unknown_service_has_no_cell() -> None:
    assert TABLE.cell_for(ServiceName("dropline"), "pen-7") is None


def test_versions_only_go_up() -> None:
    older = FleetTable(2, CELLS, HALVES)
    assert newer_table(None, older) is older
    assert newer_table(TABLE, older) is TABLE
    assert newer_table(older, TABLE) is TABLE


def test_survives_its_codec() -> None:
    assert decode_fleet_table(encode_fleet_table(TABLE), "store") == TABLE


@pytest.mark.parametrize(
    ("ranges", "fault"),
    [
        ((KeyRange(SERVICE, 5, WEST),), "position 0"),
        ((*HALVES, KeyRange(SERVICE, POSITIONS // 2, WEST)), "order"),
        ((KeyRange(SERVICE, 0, CellName("nowhere")),), "nowhere"),
        ((KeyRange(SERVICE, 0, WEST), KeyRange(SERVICE, POSITIONS, EAST)), "position"),
    ],
)
def test_refuses_a_table_that_leaves_doubt(ranges: tuple[KeyRange, ...], fault: str) -> None:
    with pytest.raises(FleetTableError, match=fault):
        FleetTable(1, CELLS, ranges)


@pytest.mark.parametrize("value", [b"", b"\xc1", b"\x94\x02\x01\x90\x90", b"\x91\x01"])
def test_refuses_bytes_that_are_not_a_table(value: bytes) -> None:
    with pytest.raises(FleetTableError, match="store"):
        decode_fleet_table(value, "store")
