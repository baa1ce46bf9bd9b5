"""Messages between nodes of a run: delays, cut ways, nodes that stand still or are gone."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Network", "Node"]

LATENCY_S = 0.001


class Node:
    """Anything that sends or receives, and can stand still for a while."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.alive = True
        self._runs = asyncio.Event()
        self._runs.set()

    @property
    def paused(self) -> bool:
        """Tell whether the node stands still."""
        return not self._runs.is_set()

    def pause(self) -> None:
        """Stand still; what arrives waits in buffers."""
        self._runs.clear()

    def resume(self) -> None:
        """Go on, with what arrived meanwhile."""
        self._runs.set()

    async def turn(self) -> None:
        """Wait until the node runs; every step of a node's code goes through here."""
        await self._runs.wait()

    async def sleep(self, seconds: float) -> None:
        """Wait as code of this node does: a timer that fires while it stands still is late."""
        await asyncio.sleep(seconds)
        await self.turn()


class Network:
    """Carry messages, or drop them where the way is cut."""

    def __init__(self) -> None:
        self._cut: set[tuple[str, str]] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def cut(self, source: str, target: str) -> None:
        """Drop everything from `source` to `target` from now on."""
        self._cut.add((source, target))

    def heal(self) -> None:
        """Restore every way."""
        self._cut.clear()

    def reaches(self, source: Node, target: Node) -> bool:
        """Tell whether a message sent now arrives."""
        return source.alive and target.alive and (source.name, target.name) not in self._cut

    def post(self, source: Node, target: Node, receive: Callable[[], None]) -> None:
        """Send a message that nobody waits for."""
        if self.reaches(source, target):
            task = asyncio.create_task(self._deliver(target, receive))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _deliver(self, target: Node, receive: Callable[[], None]) -> None:
        await asyncio.sleep(LATENCY_S)
        await target.turn()
        if target.alive:
            receive()

    async def travel(self, source: Node, target: Node) -> bool:
        """Take the way from one node to the other; return whether it was open."""
        if not self.reaches(source, target):
            return False
        await asyncio.sleep(LATENCY_S)
        await target.turn()
        return target.alive
