"""The platform's balancer before the daemons, which learns late what is ready."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

__all__ = ["Balancer", "Door"]

CHECK_S = 0.25
CHECK_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class Door:
    """Hold the addresses of one daemon, IP number and port each."""

    caller_address: str
    operator_address: str


class Balancer:
    """Ask each daemon whether it is ready, and give callers one that was."""

    def __init__(self, doors: list[Door], random: Random) -> None:
        self._doors = doors
        self._random = random
        self._ready: set[Door] = set()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to ask."""
        self._tasks = [asyncio.create_task(self._follow(door)) for door in self._doors]

    async def stop(self) -> None:
        """Stop asking."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def ready(self) -> int:
        """Return how many daemons are believed ready."""
        return len(self._ready)

    def pick(self) -> str:
        """Return the caller address of a daemon that was ready, else of any."""
        doors = sorted(self._ready, key=lambda door: door.caller_address) or self._doors
        return self._random.choice(doors).caller_address

    def report_refused(self, caller_address: str) -> None:
        """Take a daemon out until it is ready again."""
        self._ready = {door for door in self._ready if door.caller_address != caller_address}

    async def _follow(self, door: Door) -> None:
        while True:
            if await _is_ready(door.operator_address):
                self._ready.add(door)
            else:
                self._ready.discard(door)
            await asyncio.sleep(CHECK_S)


async def _is_ready(address: str) -> bool:
    host, port = address.rsplit(":", 1)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(b"GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.transport.abort()
    return False
