"""Wait for whichever of several things comes first."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable

__all__ = ["wait_for_first"]


async def wait_for_first(goal: asyncio.Future[Any], *stops: Awaitable[Any]) -> bool:
    """Tell whether `goal` is done once it or any of `stops` is; the stops are cancelled."""
    waiting: list[asyncio.Future[Any]] = [asyncio.ensure_future(stop) for stop in stops]
    try:
        await asyncio.wait([goal, *waiting], return_when=asyncio.FIRST_COMPLETED)
        return goal.done()
    finally:
        for stop in waiting:
            stop.cancel()
