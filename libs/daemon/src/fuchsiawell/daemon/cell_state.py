"""The newest assignment and configuration that this daemon has seen."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.config import Configuration
    from fuchsiawell.ownership import Assignment

__all__ = ["CellState"]


class CellState:
    """Hold both records, never an older one than before, and tell listeners of news."""

    def __init__(self) -> None:
        self.assignment: Assignment | None = None
        self.configuration: Configuration | None = None
        self._listeners: list[Callable[[], None]] = []
        self._changed: asyncio.Future[None] | None = None

    def listen(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def offer_assignment(self, assignment: Assignment) -> bool:
        """Take the record if it is newer than the one held."""
        if self.assignment is not None and assignment.revision <= self.assignment.revision:
            return False
        self.assignment = assignment
        self._announce()
        return True

    def offer_configuration(self, configuration: Configuration) -> bool:
        """Take the record if it is newer than the one held."""
        held = self.configuration
        if held is not None and configuration.version <= held.version:
            return False
        self.configuration = configuration
        self._announce()
        return True

    async def changed(self) -> None:
        """Wait for the next change."""
        if self._changed is None:
            self._changed = asyncio.get_running_loop().create_future()
        await asyncio.shield(self._changed)

    def _announce(self) -> None:
        for listener in self._listeners:
            listener()
        if self._changed is not None:
            self._changed.set_result(None)
            self._changed = None
