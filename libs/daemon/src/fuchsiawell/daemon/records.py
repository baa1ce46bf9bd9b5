"""Reading the cell's records from the platform's store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok

from fuchsiawell.config import configuration_key, decode_configuration
from fuchsiawell.ownership import AssignmentFormatError, assignment_key, decode_assignment

if TYPE_CHECKING:
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.platform import Store

__all__ = ["RecordReader"]

POLL_S = 0.5


class RecordReader:
    """Poll the assignment and the configuration, and offer them to the daemon's state."""

    def __init__(self, context: Context, state: CellState, store: Store) -> None:
        self._context = context
        self._state = state
        self._store = store
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to poll."""
        self._task = asyncio.create_task(self._poll_forever(), name="read records")

    async def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()

    async def _poll_forever(self) -> None:
        while True:
            await self._read_assignment()
            await self._read_configuration()
            await asyncio.sleep(POLL_S)

    async def _read_assignment(self) -> None:
        key = assignment_key(self._context.settings.cell)
        match await self._store.get(key):
            case Ok(record) if record is not None:
                try:
                    found = decode_assignment(record.value, record.revision, "store")
                except AssignmentFormatError as error:
                    self._context.log.warning("bad record", step=error.step, detail=error.detail)
                    return
                self._state.offer_assignment(found)
            case Err(error):
                self._context.log.warning("store call failed", key=key, error=error)

    async def _read_configuration(self) -> None:
        key = configuration_key(self._context.settings.cell)
        match await self._store.get(key):
            case Ok(record) if record is not None:
                match decode_configuration(record.value, "store"):
                    case Ok(configuration):
                        self._state.offer_configuration(configuration)
                    case Err(error):
                        self._context.log.warning("bad record", key=key, error=error)
            case Err(error):
                self._context.log.warning("store call failed", key=key, error=error)
