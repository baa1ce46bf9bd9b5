"""A constant load of repeatable requests, each remembered with its fate."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiawell.bench.bodies.exchange import BodyError, exchange

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["ConstantLoad", "Request", "ask"]

INTERVAL_S = 0.05
CALLER_TIMEOUT_S = 2.0  # past the deadline of the kind, so that a daemon's refusal is seen
NOT_ANSWERED = 0


@dataclass(frozen=True, slots=True)
class Request:
    """Hold one request of the load; `status` is 0 where nothing came back."""

    target: str
    sent_s: float
    ended_s: float
    status: int
    server: str


@dataclass(slots=True)
class ConstantLoad:
    """Ask for each target over and over, through the daemons in turn."""

    addresses: Sequence[str]
    targets: Sequence[str]
    requests: list[Request] = field(default_factory=list)

    async def run(self) -> None:
        """Ask until cancelled."""
        await asyncio.gather(*(self._repeat(n) for n in range(len(self.targets))))

    async def _repeat(self, n: int) -> None:
        address = self.addresses[n % len(self.addresses)]
        while True:
            started_s = time.monotonic()
            self.requests.append(await ask(address, self.targets[n]))
            await asyncio.sleep(max(0.0, started_s + INTERVAL_S - time.monotonic()))


async def ask(address: str, target: str) -> Request:
    """Send one request and tell what became of it."""
    sent_s = time.monotonic()
    status, server = NOT_ANSWERED, ""
    try:
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            answer = await exchange(address, f"GET {target}", {})
        status = answer.status
        server = json.loads(answer.start)["server"] if status == 200 else ""
    except (OSError, BodyError):
        pass
    return Request(target, sent_s, time.monotonic(), status, server)
