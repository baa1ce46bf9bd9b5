"""Every fault at every step, and pairs of faults: run, judge, report."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from fuchsiawell.bench.faults.injection import FAULTS, Injection
from fuchsiawell.bench.faults.procedures import PROCEDURES, Procedure
from fuchsiawell.bench.faults.world import CHECKED, UNCHECKED, ZONE_BY_DAEMON, World
from fuchsiawell.bench.once.virtual import LoopClock, run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["PAIRS", "SEED", "TARGET_S", "Cell", "Outcome", "all_cells", "run_cell"]

SEED = 7
PAIRS = 40  # pairs of faults, drawn by SEED
TARGET_S = 3.0  # a key is served again within this time after a loss
START_LIMIT_S = 8.0
SETTLE_S = 1.0
STEP_LIMIT_S = 8.0
AFTER_S = 7.0  # a run goes on for so long after its last fault has ended
PAIR_GAP_S = 0.3  # between the two faults of a pair
POLL_S = 0.005
MEMBERS = len(ZONE_BY_DAEMON)


@dataclass(frozen=True, slots=True)
class Cell:
    """Name one cell of the matrix: a step of a procedure, and one fault or two."""

    procedure: type[Procedure]
    step: str
    faults: tuple[Injection, ...]

    @property
    def name(self) -> str:
        """Return the names of step and faults."""
        faults = " + ".join(fault.name for fault in self.faults)
        return f"{self.procedure.name}: {self.step} / {faults}"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Hold what came of one cell."""

    reached: bool
    served: bool
    violations: tuple[str, ...]
    limits: tuple[str, ...]
    answered: int
    not_run: int
    unknown: int
    checked_gap_s: float
    unchecked_gap_s: float
    writes: int
    live_daemons: int

    def verdict(self, cell: Cell) -> str:
        """Return `holds`, or what went wrong."""
        if self.violations:
            return f"VIOLATED: {self.violations[0]}"
        if not self.reached:
            return "step not reached"
        if not self.served:
            return "NOT SERVED" if self.live_daemons > MEMBERS // 2 else "no majority left"
        if self.checked_gap_s > TARGET_S and all(fault.is_bounded for fault in cell.faults):
            return "holds, late"
        return "limit of unchecked servers" if self.limits else "holds"


def all_cells() -> list[Cell]:
    """Return every fault at every step, and a seeded sample of pairs."""
    steps = [(procedure, step) for procedure in PROCEDURES for step in procedure.steps]
    singles = [Cell(*step, (fault,)) for step in steps for fault in FAULTS]
    return singles + list(_pairs(steps))


def run_cell(cell: Cell) -> Outcome:
    """Run one cell in virtual time."""
    return run_virtual(_run(cell))


def _pairs(steps: list[tuple[type[Procedure], str]]) -> Iterator[Cell]:
    random = Random(SEED)
    for _ in range(PAIRS):
        procedure, step = random.choice(steps)
        yield Cell(procedure, step, tuple(random.sample(FAULTS[1:], 2)))


async def _run(cell: Cell) -> Outcome:
    clock = LoopClock()
    world = World(clock, Random(SEED))
    await world.start()
    await _until(world, world.serves, START_LIMIT_S)
    await asyncio.sleep(SETTLE_S)
    procedure = cell.procedure(world)
    began_s = clock.monotonic()
    writes = world.writes
    await procedure.begin()
    reached = await _until(world, lambda: procedure.reached(cell.step), STEP_LIMIT_S)
    for n, fault in enumerate(cell.faults):
        await asyncio.sleep(PAIR_GAP_S if n else 0.0)
        await fault.begin(world)
        if fault.end is not None:
            world.spawn(_end_later(world, fault))
    await asyncio.sleep(max(fault.lasts_s for fault in cell.faults) + AFTER_S)
    world.check_held()
    served = procedure.done()
    ended_s = clock.monotonic()
    outcome = Outcome(
        reached=reached,
        served=served,
        violations=tuple(world.checker.violations),
        limits=tuple(world.checker.limits),
        answered=world.callers.outcomes["answered"],
        not_run=world.callers.outcomes["not run"],
        unknown=world.callers.outcomes["unknown"],
        checked_gap_s=world.callers.gap_s(CHECKED, began_s, ended_s),
        unchecked_gap_s=world.callers.gap_s(UNCHECKED, began_s, ended_s),
        writes=world.writes - writes,
        live_daemons=sum(daemon.alive for daemon in world.daemons.values()),
    )
    await world.stop()
    return outcome


async def _end_later(world: World, fault: Injection) -> None:
    await asyncio.sleep(fault.lasts_s)
    assert fault.end is not None
    await fault.end(world)


async def _until(world: World, holds: Callable[[], bool], limit_s: float) -> bool:
    """Wait until `holds`; return whether it did in time."""
    end_s = world.clock.monotonic() + limit_s
    while world.clock.monotonic() < end_s:
        if holds():
            return True
        await asyncio.sleep(POLL_S)
    return False
