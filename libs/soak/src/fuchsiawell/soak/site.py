"""The site under test: store and backend servers in this process, each daemon in its own."""

from __future__ import annotations

import asyncio
from contextvars import ContextVar
from typing import TYPE_CHECKING

import uvicorn

from fuchsiawell.core import SystemClock
from fuchsiawell.soak.address_translation import translating, write_table
from fuchsiawell.soak.contact import Contact
from fuchsiawell.soak.daemons import PROGRAM, Daemon
from fuchsiawell.soak.evacuation_audit import EvacuationAudit
from fuchsiawell.soak.invariants import InvariantChecker
from fuchsiawell.soak.leaving_audit import LeavingAudit
from fuchsiawell.soak.limit_audit import LimitAudit
from fuchsiawell.soak.proxy import Proxy
from fuchsiawell.soak.recover_audit import RecoverAudit
from fuchsiawell.soak.removal_audit import RemovalAudit
from fuchsiawell.soak.rest_audit import RestAudit
from fuchsiawell.soak.server_proxies import ServerProxies
from fuchsiawell.soak.version_audit import VersionAudit
from fuchsiawell.standins import MemoryStore, free_ports

from standins.backend_server import BackendServer
from standins.documents import configuration_document
from standins.store_server import create_store_app

if TYPE_CHECKING:
    from pathlib import Path
    from random import Random

    from fuchsiawell.httpio import Channel
    from fuchsiawell.soak.proxy import CutMode

__all__ = ["CONFIGURATION_KEY", "ZONES", "SoakSite"]

CONFIGURATION_KEY = "op/config"

ROUTE_KINDS = {"safe": "safe", "once": "unsafe", "up": "upload"}
REQUEST_DURATION_S = 0.02
# Servers are in these zones in turn.
ZONES = ("z0", "z1")
LEASE_CHECK_INTERVAL_S = 0.1
# The peer of the connection that a task of a server serves.
_peer: ContextVar[str] = ContextVar("peer")


class CheckedServer(BackendServer):
    """A backend server that reports grants, releases and executions to the invariant checker."""

    invariants: InvariantChecker
    limit_audit: LimitAudit
    rest_audit: RestAudit
    leaving_audit: LeavingAudit
    evacuation_audit: EvacuationAudit
    removal_audit: RemovalAudit
    # Daemons that opened the connections to servers, by the address that the server sees.
    daemon_by_peer: dict[str, str]
    incarnation: int

    @property
    def incarnation_id(self) -> str:
        return f"{self.id}/{self.incarnation}"

    def name_limit(self, rate_per_s: float | None) -> None:
        """Name a rate limit from now on, or none."""
        self.rate_limit_values = () if rate_per_s is None else (f"{rate_per_s:g}".encode(),)
        self.limit_audit.record_limit(self.incarnation_id, rate_per_s, self.clock.monotonic())

    @property
    def sender(self) -> str:
        """The daemon that sent the current request: the client's, or one that relays for it."""
        return self.daemon_by_peer[_peer.get()]

    def accept(self, channel: Channel) -> None:
        _peer.set(channel.peer)
        super().accept(channel)

    def on_arrival(self, request_id: str) -> None:
        daemon, now_s = self.sender, self.clock.monotonic()
        self.limit_audit.record_arrival(self.incarnation_id, daemon, now_s)
        self.rest_audit.record_arrival(self.incarnation_id, daemon, now_s)
        self.removal_audit.record_arrival(self.incarnation_id, daemon, now_s)
        # Clients know the ids of servers only; one that leaves has no later incarnation here.
        self.leaving_audit.record_arrival(self.id, request_id, now_s, daemon)

    def on_rest_named(self, request_id: str, values: tuple[bytes, ...]) -> None:
        seconds, now_s = float(values[0]), self.clock.monotonic()
        self.rest_audit.record_rest(self.incarnation_id, self.sender, seconds, now_s)

    def on_limit_named(self, request_id: str) -> None:
        now_s = self.clock.monotonic()
        self.limit_audit.record_told(self.incarnation_id, self.sender, now_s)

    def on_execute(self, request_id: str) -> None:
        self.invariants.record_execution(request_id, self.incarnation_id)
        self.evacuation_audit.record_execution(self.zone, self.sender, self.clock.monotonic())

    def on_grant(self, first: int, last: int, fence: int, until_s: float) -> None:
        self.invariants.check_grant(
            self.incarnation_id, first, last, fence, until_s, self.clock.monotonic()
        )

    def on_release(self, first: int, last: int) -> None:
        self.invariants.record_release(self.incarnation_id, first, last)


class SoakSite:
    """Store, backend servers, proxies and daemons of one soak."""

    def __init__(self, folder: Path, random: Random) -> None:
        self.clock = SystemClock()
        self.random = random
        self.invariants = InvariantChecker()
        self.limit_audit = LimitAudit()
        self.rest_audit = RestAudit()
        self.leaving_audit = LeavingAudit()
        self.recover_audit = RecoverAudit()
        self.evacuation_audit = EvacuationAudit()
        self.contact = Contact()
        self.version_audit = VersionAudit(self.contact)
        self.removal_audit = RemovalAudit(self.contact)
        self.daemon_by_peer: dict[str, str] = {}
        self.store = MemoryStore(self.clock)
        self.store.era = 1
        self.servers: dict[str, CheckedServer] = {}
        self.server_proxies: dict[str, ServerProxies] = {}
        self.store_proxies: dict[str, Proxy] = {}
        self.daemons: list[Daemon] = []
        # Daemons that are cut off from all servers now.
        self.cut_modes: dict[str, CutMode] = {}
        self.version = 0
        # Keys that were removed since the store last came back from an older copy.
        self.removed_keys: set[str] = set()
        self._folder = folder
        self._server_count = 0
        self._store_server: uvicorn.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._store_port = 0

    async def start(self, servers: int, daemons: int, program: tuple[str, ...] = PROGRAM) -> None:
        """Start the site and wait until all daemons are ready."""
        self._store_port = free_ports(1)[0]
        config = uvicorn.Config(
            create_store_app(self.store),
            "127.0.0.1",
            self._store_port,
            log_level="critical",
            lifespan="off",
        )
        self._store_server = uvicorn.Server(config)
        self._tasks.append(asyncio.create_task(self._store_server.serve()))
        self._tasks.append(asyncio.create_task(self._expire_leases()))
        while not self._store_server.started:
            await asyncio.sleep(0.01)
        self.configure()
        for _ in range(servers):
            await self.add_server()
        for number in range(daemons):
            name = f"d-{number + 1}"
            proxy = self.store_proxies[name] = Proxy(("127.0.0.1", self._store_port))
            await proxy.start()
            command = translating(self._table_path(name), program)
            daemon = Daemon(name, proxy.port, self._folder, command)
            self.daemons.append(daemon)
            for server in self.servers.values():
                await self._add_proxy(server, name)
            self._write_table(name)
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()

    def configure(self) -> None:
        """Write the next version of the configuration, with one more route."""
        self.version += 1
        kinds = {
            **ROUTE_KINDS,
            **{f"version{number + 1}": "safe" for number in range(self.version)},
        }
        self.store.put(CONFIGURATION_KEY, configuration_document(self.version, kinds, True))
        self.version_audit.record_written(self.version, self.clock.monotonic())

    async def add_server(self) -> CheckedServer:
        """Start a server behind its own proxy and write its entry to the store."""
        self._server_count += 1
        return await self._start_server(f"i-{self._server_count}", incarnation=1)

    async def restart_server(self, name: str) -> None:
        """Start the next incarnation of a server that was crashed before."""
        await self._start_server(name, self.servers[name].incarnation + 1)

    async def crash_server(self, name: str) -> None:
        """Stop a server at once and leave its entry in the store."""
        server = self.servers[name]
        await server.stop()
        self.invariants.record_incarnation_end(server.incarnation_id)

    def write_server_entry(self, name: str, state: str) -> None:
        server = self.servers[name]
        entry = server.entry(state, server.incarnation, self.server_proxies[name].port)
        self.store.put(f"servers/{name}", entry)

    def remove_key(self, key: str) -> None:
        """Remove a key from the store for good."""
        self.store.remove(key)
        self.removed_keys.add(key)

    def remove_server_entry(self, name: str) -> None:
        """Remove the entry of a server from the store; the server goes on serving."""
        self.remove_key(f"servers/{name}")
        incarnation_id = self.servers[name].incarnation_id
        self.removal_audit.record_removed(incarnation_id, self.clock.monotonic())

    async def remove_server(self, name: str) -> None:
        """Remove the entry of a server from the store and stop the server."""
        self.remove_server_entry(name)
        await self.crash_server(name)

    def cut_from_servers(self, daemon: str, mode: CutMode) -> None:
        """Cut a daemon off from all servers, also from those that are added later."""
        self.cut_modes[daemon] = mode
        for proxies in self.server_proxies.values():
            proxies.cut(daemon, mode)

    async def reconnect_to_servers(self, daemon: str) -> None:
        """End the cut of a daemon."""
        self.cut_modes.pop(daemon, None)
        for proxies in list(self.server_proxies.values()):
            await proxies.end_cut(daemon)

    async def start_process(self, daemon: Daemon) -> None:
        """Start the next process of a daemon."""
        self.contact.record_start(daemon.name, self.clock.monotonic())
        await daemon.start()

    def record_disturbance(self, daemon: str, start_s: float, end_s: float) -> None:
        """Record that a daemon was restarted or frozen."""
        self.contact.record_disturbance(daemon, start_s, end_s)
        self.recover_audit.record_disturbance(daemon, start_s, end_s)
        self.limit_audit.record_disturbance(daemon, start_s, end_s)
        self.rest_audit.record_disturbance(daemon, start_s, end_s)
        self.leaving_audit.record_disturbance(daemon, start_s, end_s)
        self.evacuation_audit.record_disturbance(daemon, start_s, end_s)

    def clear_faults(self) -> None:
        """Switch off all faults of the store, the proxies and the servers."""
        self.store.unavailable = False
        self.store.responses_to_lose = 0
        for proxies in self.server_proxies.values():
            proxies.clear_faults()
        for proxy in self.store_proxies.values():
            proxy.clear_faults()
        for server in self.servers.values():
            server.withhold_grant_responses = server.hang = server.close_delimited = False
            server.endless = None
            server.requests_to_shed = server.responses_to_lose = server.responses_to_cut = (
                server.extra_responses
            ) = 0
            server.service_time_s = REQUEST_DURATION_S
            server.rest_values = ()
            if server.rate_limit_values:
                server.name_limit(None)

    async def stop(self) -> None:
        """Stop all processes, servers and tasks of the site."""
        for daemon in self.daemons:
            await daemon.kill()
        for proxies in self.server_proxies.values():
            await proxies.stop()
        for proxy in self.store_proxies.values():
            await proxy.stop()
        for server in self.servers.values():
            await server.stop()
        if self._store_server is not None:
            self._store_server.force_exit = True
            self._store_server.should_exit = True
        self._tasks[1].cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _start_server(self, name: str, incarnation: int) -> CheckedServer:
        server = CheckedServer(
            name, "s", self.clock, sharded=True, slots=4, service_time_s=REQUEST_DURATION_S
        )
        server.invariants, server.incarnation = self.invariants, incarnation
        server.leaving_audit = self.leaving_audit
        server.evacuation_audit = self.evacuation_audit
        server.removal_audit = self.removal_audit
        server.zone = ZONES[int(name.removeprefix("i-")) % len(ZONES)]
        server.limit_audit, server.daemon_by_peer = self.limit_audit, self.daemon_by_peer
        server.rest_audit = self.rest_audit
        await server.start()
        self.servers[name] = server
        if name not in self.server_proxies:
            self.server_proxies[name] = ServerProxies()
            for daemon in self.daemons:
                await self._add_proxy(server, daemon.name)
                self._write_table(daemon.name)
        self.server_proxies[name].redirect(("127.0.0.1", server.port))
        self.write_server_entry(name, "ready")
        return server

    async def _add_proxy(self, server: CheckedServer, daemon: str) -> None:
        """Start the proxy of a daemon before a server."""

        def record_peer(port: int) -> None:
            self.daemon_by_peer[f"127.0.0.1:{port}"] = daemon

        proxies = self.server_proxies[server.id]
        await proxies.add_daemon(daemon, ("127.0.0.1", server.port), record_peer)
        if daemon in self.cut_modes:
            proxies.cut(daemon, self.cut_modes[daemon])

    def _table_path(self, daemon: str) -> Path:
        return self._folder / f"{daemon}.ports"

    def _write_table(self, daemon: str) -> None:
        """Write the ports of a daemon's proxies in place of those in servers' entries."""
        ports = {
            proxies.port: proxies.by_daemon[daemon].port
            for proxies in self.server_proxies.values()
            if daemon in proxies.by_daemon
        }
        write_table(self._table_path(daemon), ports)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self.store.expire_leases()
