"""The cell's records in the platform's store: read at the start, written by the controller."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from result import Err, Ok

from fuchsiawell.config import configuration_key, decode_configuration
from fuchsiawell.ownership import (
    Assignment,
    AssignmentFormatError,
    assignment_key,
    decode_assignment,
    encode_assignment,
)
from fuchsiawell.platform import ABSENT, Conflict, Record, Revision

if TYPE_CHECKING:
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.platform import Store, StoreError, WriteError

__all__ = ["StoreRecords"]

WATCH_S = 20.0  # a watch waits so long for news, which then arrive at once
CUT_OFF_S = 2.0  # a daemon whose store calls fail for so long says so to its peers


class StoreRecords:
    """Read and write through the store, and tell the daemon's state only what the store said."""

    def __init__(self, context: Context, state: CellState, store: Store) -> None:
        self._context = context
        self._state = state
        self._store = store
        self._assignment_key = assignment_key(context.settings.cell)
        self._configuration_key = configuration_key(context.settings.cell)
        self._configuration_revision = ABSENT
        self._failing_since_s: float | None = None
        self.confirmed = False  # whether the store itself answered for the assignment
        self.absent = False  # whether it answered that there is none

    @property
    def reachable(self) -> bool:
        """Tell whether the store answered lately, or has not been asked."""
        since_s = self._failing_since_s
        return since_s is None or self._context.clock.monotonic() - since_s < CUT_OFF_S

    @property
    def failing(self) -> bool:
        """Tell whether the last call failed."""
        return self._failing_since_s is not None

    async def read_assignment(self) -> bool:
        """Read the assignment; return whether the store answered."""
        match await self._store.get(self._assignment_key):
            case Ok(record):
                self._succeeded()
                self.confirmed = True
                self.absent = record is None
                if record is not None:
                    self._take_assignment(record)
                return True
            case Err(error):
                self._failed(error)
                return False

    async def read_configuration(self) -> bool:
        """Read the configuration; return whether the store answered."""
        match await self._store.get(self._configuration_key):
            case Ok(record):
                self._succeeded()
                if record is not None:
                    self._take_configuration(record)
                return True
            case Err(error):
                self._failed(error)
                return False

    async def watch_configuration(self) -> bool:
        """Wait for a newer configuration; return whether one came."""
        found = await self._store.watch(
            self._configuration_key, self._configuration_revision, WATCH_S
        )
        match found:
            case Ok(None):
                self._succeeded()
                return False
            case Ok(record):
                self._succeeded()
                return record is not None and self._take_configuration(record)
            case Err(error):
                self._failed(error)
                return False

    async def write_assignment(self, made: Assignment) -> bool:
        """Compare-and-swap the record that follows `made.revision`; return whether it was made.

        After a conflict or a lost answer the record in force is whatever the store now holds.
        """
        value = encode_assignment(made)
        match await self._store.put(self._assignment_key, value, Revision(made.revision)):
            case Ok(record):
                self._succeeded()
                self._state.offer_assignment(replace(made, revision=record.revision))
                return True
            case Err(Conflict(current)):
                self._succeeded()
                if current is not None:
                    self._take_assignment(current)
                return False
            case Err(error):
                self._failed(error)
                return await self._resolve(value)

    async def _resolve(self, value: bytes) -> bool:
        """Re-read after a write without an answer; only what is read counts as made."""
        match await self._store.get(self._assignment_key):
            case Ok(record) if record is not None:
                self._succeeded()
                self._take_assignment(record)
                return record.value == value
            case Ok(_):
                self._succeeded()
            case Err(error):
                self._failed(error)
        return False

    def _take_assignment(self, record: Record) -> None:
        try:
            found = decode_assignment(record.value, record.revision, "store")
        except AssignmentFormatError as error:
            self._context.log.warning("bad record", step=error.step, detail=error.detail)
            return
        self._state.offer_assignment(found)

    def _take_configuration(self, record: Record) -> bool:
        self._configuration_revision = record.revision
        match decode_configuration(record.value, "store"):
            case Ok(configuration):
                return self._state.offer_configuration(configuration)
            case Err(error):
                self._context.log.warning("bad record", key=record.key, detail=str(error))
        return False

    def _succeeded(self) -> None:
        if self._failing_since_s is not None:
            self._context.log.event("store answers again")
        self._failing_since_s = None

    def _failed(self, error: StoreError | WriteError) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = self._context.clock.monotonic()
            self._context.log.warning("store call failed", step="store", detail=repr(error))
