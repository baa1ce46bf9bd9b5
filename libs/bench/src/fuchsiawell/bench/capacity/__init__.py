"""Slopes of cost against size, from which docs/CAPACITY.md is worked out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.bench.capacity.cell_records import (
    measure_assignment,
    measure_configuration,
    measure_fleet,
)
from fuchsiawell.bench.capacity.heartbeat_costs import measure_heartbeats
from fuchsiawell.bench.capacity.leader_costs import (
    measure_admission,
    measure_journal,
    measure_ledger,
    measure_load,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiawell.bench.measurement import Measurement

__all__ = ["run"]


def run() -> Iterator[Measurement]:
    """Yield every slope, with the points behind it and what its line leaves unexplained."""
    yield from measure_assignment()
    yield from measure_heartbeats()
    yield from measure_admission()
    yield from measure_load()
    yield from measure_ledger()
    yield from measure_journal()
    yield from measure_configuration()
    yield from measure_fleet()
