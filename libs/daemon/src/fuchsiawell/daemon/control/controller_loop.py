"""Decides the cell's next record when it is this daemon's turn, and writes it."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from fuchsiawell.daemon.control.changes import log_changes
from fuchsiawell.ownership import (
    Assignment,
    CellSettings,
    decide,
    first_assignment,
    may_decide,
    may_write_first,
)

if TYPE_CHECKING:
    from fuchsiawell.config import Configuration
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.control.distribution import Distribution
    from fuchsiawell.daemon.control.store_records import StoreRecords
    from fuchsiawell.ownership import Evidence, Observer

__all__ = ["DECIDE_S", "ControllerLoop", "cell_settings"]

DECIDE_S = 0.1  # time between two looks at the evidence
LOOK_AGAIN_S = 1.0  # evidence that did not change is weighed again after this time


class ControllerLoop:
    """Weigh the evidence each time it changes; one write at a time."""

    def __init__(
        self,
        context: Context,
        state: CellState,
        observer: Observer,
        records: StoreRecords,
        distribution: Distribution,
    ) -> None:
        self._context = context
        self._state = state
        self._observer = observer
        self._records = records
        self._distribution = distribution
        self._weighed: tuple[int, Evidence] | None = None
        self._weighed_s = float("-inf")

    async def step(self) -> None:
        """Decide once, and write what was decided."""
        configuration = self._state.configuration
        if configuration is None or not self._records.confirmed:
            return
        assignment = self._state.assignment
        if assignment is None:
            await self._write_first(configuration)
        else:
            await self._write_next(assignment, cell_settings(configuration))

    async def _write_first(self, configuration: Configuration) -> None:
        """Write the record of a new cell, in the order of ranks so that one daemon does."""
        if not self._records.absent:
            return
        nothing = Assignment(self._context.settings.cell, None, 0, ())
        evidence = self._observer.evidence(nothing, self._context.clock.monotonic())
        if not may_write_first(evidence):
            return
        settings = cell_settings(configuration)
        made = first_assignment(self._context.settings.cell, evidence, settings)
        await self._write(None, made)

    async def _write_next(self, assignment: Assignment, settings: CellSettings) -> None:
        now_s = self._context.clock.monotonic()
        evidence = self._observer.evidence(assignment, now_s)
        if not may_decide(assignment, evidence) or self._is_weighed(assignment, evidence, now_s):
            return
        made = decide(assignment, evidence, settings, now_s)
        if made is None:
            self._observer.forget_requests(evidence.requests)
            return
        if now_s - self._observer.rebalanced_s >= settings.rebalance_s:
            self._observer.rebalanced_s = now_s
        if await self._write(assignment, made):
            self._observer.forget_requests(evidence.requests)

    async def _write(self, before: Assignment | None, made: Assignment) -> bool:
        was_made = await self._records.write_assignment(made)
        after = self._state.assignment
        if was_made and after is not None:
            log_changes(self._context.log, before, after)
        self._distribution.push()
        return was_made

    def _is_weighed(self, assignment: Assignment, evidence: Evidence, now_s: float) -> bool:
        """Tell whether the same evidence led to no decision a moment ago."""
        timeless = replace(
            evidence, controller_lost_for_s=None, started_for_s=0.0, rebalanced_s=0.0
        )
        weighed = (assignment.revision, timeless)
        if weighed == self._weighed and now_s - self._weighed_s < LOOK_AGAIN_S:
            return True
        self._weighed, self._weighed_s = weighed, now_s
        return False


def cell_settings(configuration: Configuration) -> CellSettings:
    """Return what the configuration says about ownership."""
    services = configuration.services_by_name
    return CellSettings(
        {name: service.shard_count for name, service in services.items()},
        {name: service.checks_fence for name, service in services.items()},
    )
