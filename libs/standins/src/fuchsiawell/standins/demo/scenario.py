"""What happens to the site of the demo, step by step."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from fuchsiawell.platform import HostState
from fuchsiawell.standins.demo.attempts import Ending, Phase

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from fuchsiawell.standins.demo.load import Load
    from fuchsiawell.standins.demo.site import BackendHost, DaemonHost, Site

__all__ = ["Scenario"]

CALM_S = 2.0
LOST_S = 3.5  # from a loss to the return of what was lost
SETTLE_S = 1.0
LEAVING_S = 0.3  # from the announcement of a planned stop to the stop
POLL_S = 0.05
READY_TIMEOUT_S = 15.0


class Scenario:
    """Lose, freeze and restart parts of the site under load, and note when."""

    def __init__(self, site: Site, load: Load, say: Callable[[str], None]) -> None:
        self._site = site
        self._load = load
        self._say = say
        self.phases: list[Phase] = []
        self.unclean_stops: list[str] = []
        self.stop_times_s: list[float] = []  # from SIGTERM to the end of the process

    async def run(self) -> None:
        """Go through every step."""
        site = self._site
        async with self._phase("calm"):
            await asyncio.sleep(CALM_S)
        async with self._phase("daemon killed"):
            await self._lose_daemon(site.daemons[1])
        async with self._phase("server killed"):
            await self._lose_server(self._server("penwatch"))
        async with self._phase("daemon frozen"):
            await self._freeze_daemon(site.daemons[2])
        async with self._phase("server frozen"):
            await self._freeze_server(self._server("dropline"))
        async with self._phase("rolling restart"):
            for daemon in site.daemons:
                await self._restart(daemon)
            await asyncio.sleep(SETTLE_S)

    def phase(self, name: str) -> Phase:
        """Return the phase of that name."""
        return next(phase for phase in self.phases if phase.name == name)

    @asynccontextmanager
    async def _phase(self, name: str) -> AsyncIterator[None]:
        self._say(name)
        started_at_s = time.monotonic()
        yield
        self.phases.append(Phase(name, started_at_s, time.monotonic()))

    def _server(self, service: str) -> BackendHost:
        return next(backend for backend in self._site.backends if backend.shape.name == service)

    async def _lose_daemon(self, daemon: DaemonHost) -> None:
        assert daemon.process is not None
        daemon.process.kill()
        await asyncio.sleep(LOST_S)
        await self._site.start_daemon(daemon)
        await asyncio.sleep(SETTLE_S)

    async def _lose_server(self, backend: BackendHost) -> None:
        assert backend.process is not None
        backend.process.kill()
        await asyncio.sleep(LOST_S)
        await self._site.start_backend(backend)
        await asyncio.sleep(SETTLE_S)

    async def _freeze_daemon(self, daemon: DaemonHost) -> None:
        assert daemon.process is not None
        daemon.process.pause()
        await asyncio.sleep(LOST_S)
        daemon.process.resume()
        await asyncio.sleep(SETTLE_S)

    async def _freeze_server(self, backend: BackendHost) -> None:
        assert backend.process is not None
        backend.process.pause()
        await asyncio.sleep(LOST_S)
        backend.process.resume()
        await asyncio.sleep(SETTLE_S)

    async def _restart(self, daemon: DaemonHost) -> None:
        daemon.state = HostState.LEAVING
        await self._site.publish_hosts()
        await asyncio.sleep(LEAVING_S)
        asked_at_s = time.monotonic()
        status = await self._site.stop_daemon(daemon)
        self.stop_times_s.append(time.monotonic() - asked_at_s)
        if status != 0:
            self.unclean_stops.append(f"{daemon.id} exit {status}")
        daemon.state = HostState.LIVE
        await self._site.start_daemon(daemon)
        await self._site.publish_hosts()
        await self._wait_for_success()

    async def _wait_for_success(self) -> None:
        """Wait until something was answered, so that a dead site is not restarted on and on."""
        asked_at_s = time.monotonic()
        while time.monotonic() < asked_at_s + READY_TIMEOUT_S:
            answered = (
                attempt.ended_at_s
                for attempt in self._load.attempts
                if attempt.ending is Ending.ANSWERED
            )
            if max(answered, default=0.0) > asked_at_s:
                return
            await asyncio.sleep(POLL_S)
