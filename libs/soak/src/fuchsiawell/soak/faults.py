"""The faults, each a short story that ends by itself; they come in series and overlap."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiawell.soak.daemons import Daemon
    from fuchsiawell.soak.site import SoakSite

__all__ = ["FAULTS", "Faults"]

LEAST_SERVERS = 3


class Faults:
    """Bring faults about at a site; all chance comes from the site's seeded source."""

    def __init__(self, site: SoakSite) -> None:
        self._site = site
        self._busy_servers: set[str] = set()
        self._busy_daemons: set[str] = set()

    async def kill_daemon(self) -> None:
        """Kill a daemon and start it again."""
        await self._with_daemon(self._kill)

    async def stop_daemon(self) -> None:
        """Tell a daemon to stop while clients go on using their connections."""
        await self._with_daemon(self._terminate)

    async def pause_daemon(self) -> None:
        """Let a daemon stand still for seconds."""
        await self._with_daemon(self._pause)

    async def cut_daemon_from_store(self) -> None:
        """Silence a daemon's link to the store, one way or both, or reset it."""
        site = self._site
        proxy = site.random.choice(list(site.store_proxies.values()))
        way = site.random.randrange(4)
        proxy.silent_to, proxy.silent_from = way in (0, 2), way in (1, 2)
        if way == 3:
            proxy.reset()
        await asyncio.sleep(site.random.uniform(1.0, 5.0))
        proxy.calm()

    async def store_away(self) -> None:
        """Let the store refuse everyone."""
        self._site.store.unavailable = True
        await asyncio.sleep(self._site.random.uniform(1.0, 5.0))
        self._site.store.unavailable = False

    async def store_loses_answers(self) -> None:
        """Do some writes and lose their answers."""
        self._site.store.lose_answers += self._site.random.randrange(1, 4)
        await asyncio.sleep(0)

    async def store_forgets(self) -> None:
        """Drop the store's history."""
        self._site.store.compact_history()
        await asyncio.sleep(0)

    async def configure(self) -> None:
        """Change the configuration, several times at once."""
        for _ in range(self._site.random.randrange(1, 4)):
            self._site.configure()
            await asyncio.sleep(0.05)

    async def crash_server(self) -> None:
        """Crash a server and start it again under its id."""
        await self._with_server(self._crash)

    async def leave_server(self) -> None:
        """Let a server drain and leave, and another one join."""
        await self._with_server(self._leave)

    async def mute_server(self) -> None:
        """Let a server take grants and leave them unanswered."""
        await self._with_server(self._mute)

    async def silence_server(self) -> None:
        """Silence the links to a server."""
        await self._with_server(self._silence)

    async def spoil_answers(self) -> None:
        """Let a server lose, cut and double answers and reject requests."""
        await self._with_server(self._spoil)

    async def _with_daemon(self, fault: Callable[[Daemon], Awaitable[None]]) -> None:
        site = self._site
        free = [d for d in site.daemons if d.name not in self._busy_daemons and d.running]
        if len(free) < 2:
            return
        daemon = site.random.choice(free)
        self._busy_daemons.add(daemon.name)
        try:
            await fault(daemon)
        finally:
            self._busy_daemons.discard(daemon.name)

    async def _kill(self, daemon: Daemon) -> None:
        daemon.signal(signal.SIGKILL)
        await daemon.ended()
        await asyncio.sleep(self._site.random.uniform(0.1, 1.5))
        await daemon.start()

    async def _terminate(self, daemon: Daemon) -> None:
        # Before it serves, a process has no handler yet and may end by the signal itself.
        await daemon.wait_ready()
        daemon.signal(signal.SIGTERM)
        status = await daemon.ended()
        if status != 0:
            self._site.promises.broken.append(f"{daemon.name} ended with {status} after SIGTERM")
        await daemon.start()

    async def _pause(self, daemon: Daemon) -> None:
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(self._site.random.uniform(0.5, 4.0))
        daemon.signal(signal.SIGCONT)
        await asyncio.sleep(0.5)

    async def _with_server(self, fault: Callable[[str], Awaitable[None]]) -> None:
        site = self._site
        free = [name for name in site.servers if name not in self._busy_servers]
        if len(free) < LEAST_SERVERS:
            return
        name = site.random.choice(free)
        self._busy_servers.add(name)
        try:
            await fault(name)
        finally:
            self._busy_servers.discard(name)

    async def _crash(self, name: str) -> None:
        await self._site.crash_server(name)
        await asyncio.sleep(self._site.random.uniform(0.2, 4.0))
        await self._site.restart_server(name)

    async def _leave(self, name: str) -> None:
        site = self._site
        site.announce(name, "draining")
        await site.add_server()
        await asyncio.sleep(site.random.uniform(2.0, 4.0))
        await site.remove_server(name)
        del site.servers[name]

    async def _mute(self, name: str) -> None:
        server = self._site.servers[name]
        server.withhold_grant_responses = True
        await asyncio.sleep(self._site.random.uniform(0.5, 4.0))
        server.withhold_grant_responses = False

    async def _silence(self, name: str) -> None:
        site, proxy = self._site, self._site.server_proxies[name]
        proxy.silent_to = site.random.random() < 0.5
        proxy.silent_from = not proxy.silent_to or site.random.random() < 0.5
        await asyncio.sleep(site.random.uniform(0.5, 4.0))
        proxy.calm()

    async def _spoil(self, name: str) -> None:
        site, server = self._site, self._site.servers[name]
        server.lose_answers += site.random.randrange(3)
        server.cut_answers += site.random.randrange(3)
        server.extra_answers += site.random.randrange(3)
        server.requests_to_shed += site.random.randrange(5)
        await asyncio.sleep(site.random.uniform(0.5, 2.0))


FAULTS: tuple[Callable[[Faults], Awaitable[None]], ...] = (
    Faults.kill_daemon,
    Faults.stop_daemon,
    Faults.pause_daemon,
    Faults.cut_daemon_from_store,
    Faults.store_away,
    Faults.store_loses_answers,
    Faults.store_forgets,
    Faults.configure,
    Faults.crash_server,
    Faults.leave_server,
    Faults.mute_server,
    Faults.silence_server,
    Faults.spoil_answers,
)
