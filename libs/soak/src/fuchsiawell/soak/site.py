"""A site for the soak: store and servers in this process, daemons in their own."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import uvicorn

from fuchsiawell.core import SystemClock
from fuchsiawell.soak.daemons import PROGRAM, Daemon, free_ports
from fuchsiawell.soak.invariants import Promises
from fuchsiawell.soak.proxy import Proxy
from fuchsiawell.standins import MemoryStore

from standins.backend_server import BackendServer
from standins.documents import configuration_document
from standins.store_server import create_store_app

if TYPE_CHECKING:
    from pathlib import Path
    from random import Random

__all__ = ["SoakSite"]

KINDS = {"safe": "safe", "once": "unsafe", "up": "upload"}
WORK_S = 0.02
EXPIRE_S = 0.1


class WatchedServer(BackendServer):
    """A server whose grants and runs are checked as they happen."""

    promises: Promises
    born: int

    @property
    def life(self) -> str:
        """The name of this life."""
        return f"{self.id}/{self.born}"

    def on_execute(self, request_id: str) -> None:
        """Report a run."""
        self.promises.ran(request_id, self.life)

    def on_grant(self, first: int, last: int, fence: int, until_s: float) -> None:
        """Report a grant that was taken."""
        self.promises.granted(self.life, first, last, fence, until_s, self.clock.monotonic())

    def on_release(self, first: int, last: int) -> None:
        """Report a release."""
        self.promises.released(self.life, first, last)


class SoakSite:
    """Everything that runs in one soak."""

    def __init__(self, folder: Path, random: Random) -> None:
        self.clock = SystemClock()
        self.random = random
        self.promises = Promises()
        self.store = MemoryStore(self.clock)
        self.servers: dict[str, WatchedServer] = {}
        self.server_proxies: dict[str, Proxy] = {}
        self.store_proxies: dict[str, Proxy] = {}
        self.daemons: list[Daemon] = []
        self.version = 0
        self._folder = folder
        self._number = 0
        self._server: uvicorn.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._store_port = 0

    async def start(self, servers: int, daemons: int, program: tuple[str, ...] = PROGRAM) -> None:
        """Start everything and wait until the daemons are ready."""
        self._store_port = free_ports(1)[0]
        config = uvicorn.Config(
            create_store_app(self.store),
            "127.0.0.1",
            self._store_port,
            log_level="critical",
            lifespan="off",
        )
        self._server = uvicorn.Server(config)
        self._tasks.append(asyncio.create_task(self._server.serve()))
        self._tasks.append(asyncio.create_task(self._expire()))
        while not self._server.started:
            await asyncio.sleep(0.01)
        self.configure()
        for _ in range(servers):
            await self.add_server()
        for number in range(daemons):
            name = f"d-{number + 1}"
            proxy = self.store_proxies[name] = Proxy(("127.0.0.1", self._store_port))
            await proxy.start()
            daemon = Daemon(name, proxy.port, self._folder, program)
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()

    def configure(self) -> None:
        """Write the next version of the configuration, with one more route."""
        self.version += 1
        kinds = {**KINDS, f"v{self.version}": "safe"}
        self.store.put("op/config", configuration_document(self.version, kinds, True))

    async def add_server(self) -> WatchedServer:
        """Start a server and register it behind a proxy of its own."""
        self._number += 1
        return await self._bring_up(f"i-{self._number}", born=1)

    async def restart_server(self, name: str) -> None:
        """Begin a new life under the same id, after the old one has ended."""
        await self._bring_up(name, self.servers[name].born + 1)

    async def crash_server(self, name: str) -> None:
        """End a life without a word."""
        server = self.servers[name]
        await server.stop()
        self.promises.ended(server.life)

    def announce(self, name: str, state: str) -> None:
        """Write a server's entry."""
        server = self.servers[name]
        entry = server.entry(state, server.born, self.server_proxies[name].port)
        self.store.put(f"servers/{name}", entry)

    async def remove_server(self, name: str) -> None:
        """Take a server away for good."""
        self.store.remove(f"servers/{name}")
        await self.crash_server(name)

    def calm(self) -> None:
        """End all faults that last."""
        self.store.unavailable = False
        self.store.lose_answers = 0
        for proxy in [*self.server_proxies.values(), *self.store_proxies.values()]:
            proxy.calm()
        for server in self.servers.values():
            server.withhold_grant_responses = server.hang = server.close_delimited = False
            server.requests_to_shed = server.lose_answers = server.cut_answers = (
                server.extra_answers
            ) = 0
            server.service_time_s = WORK_S

    async def stop(self) -> None:
        """End everything."""
        for daemon in self.daemons:
            await daemon.stop()
        for proxy in [*self.server_proxies.values(), *self.store_proxies.values()]:
            await proxy.stop()
        for server in self.servers.values():
            await server.stop()
        if self._server is not None:
            self._server.force_exit = True
            self._server.should_exit = True
        self._tasks[1].cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _bring_up(self, name: str, born: int) -> WatchedServer:
        server = WatchedServer(name, "s", self.clock, sharded=True, slots=4, service_time_s=WORK_S)
        server.promises, server.born = self.promises, born
        await server.start()
        self.servers[name] = server
        proxy = self.server_proxies.get(name)
        if proxy is None:
            proxy = self.server_proxies[name] = Proxy(("127.0.0.1", server.port))
            await proxy.start()
        proxy.target = ("127.0.0.1", server.port)
        self.announce(name, "ready")
        return server

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            self.store.expire_leases()
