"""Three daemons and two backend servers in one loop, on a store in memory."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import io
import itertools
import os
import socket
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from fuchsiawell.config import (
    Address,
    Configuration,
    Goal,
    IdStyle,
    Kind,
    Limits,
    Service,
    Settings,
    configuration_key,
    encode_configuration,
)
from fuchsiawell.core import (
    CellName,
    DaemonId,
    LamportClock,
    SeededIds,
    ServerId,
    ServiceName,
    ShardId,
    SystemClock,
    open_event_log,
)
from fuchsiawell.daemon import Application, Context
from fuchsiawell.daemon.embedded_server import EmbeddedServer
from fuchsiawell.daemon.stores import Stores
from fuchsiawell.ownership import (
    Assignment,
    ServerRecord,
    ServerState,
    ShardRecord,
    ShardState,
    assignment_key,
    encode_assignment,
)
from fuchsiawell.platform import ABSENT
from fuchsiawell.standins.memory_store import MemoryStore

CELL = CellName("viti-west")
SERVICE = ServiceName("penwatch")
SHARDS = 8
DAEMONS = [DaemonId(f"d{n}") for n in range(3)]
SERVERS = [ServerId(f"s{n}") for n in range(2)]
STATUS = Kind("status", repeatable=True, deadline_s=2.0, max_body_bytes=1 << 30)
FEED = Kind("feed", repeatable=False, deadline_s=2.0, max_body_bytes=1 << 20, resend_window_s=60.0)
DROP = replace(FEED, name="drop", id_style=IdStyle.MINTED)


FIRST_PORT = 20_000  # below the range from which outgoing connections take theirs
PORTS = itertools.count(FIRST_PORT + os.getpid() % 1000 * 10)


def free_port() -> int:
    for port in PORTS:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise AssertionError("ports never end")


def address() -> Address:
    return Address("127.0.0.1", free_port())


@dataclass
class EchoServer:
    """A backend server that says what it was asked, and can be told to misbehave."""

    id: ServerId
    address: Address = field(default_factory=address)
    requests: list[dict[str, Any]] = field(default_factory=list)
    cut_after_bytes: int | None = None
    delay_s: float = 0.0
    refuse: bytes | None = None
    swallow: int = 0  # requests that get no answer, as on a connection that went silent

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        digest, size, more = hashlib.sha256(), 0, True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                self.requests.append({"path": scope["path"], "cut": True})
                return
            digest.update(message["body"])
            size += len(message["body"])
            more = message["more_body"]
        headers = dict(scope["headers"])
        self.requests.append({"path": scope["path"], "headers": headers, "size": size})
        if self.swallow > 0:
            self.swallow -= 1
            while (await receive())["type"] != "http.disconnect":
                pass
            return
        await asyncio.sleep(self.delay_s)
        await self._answer(scope, send, f"{self.id} {size} {digest.hexdigest()}".encode())

    async def _answer(self, scope: dict[str, Any], send: Any, body: bytes) -> None:
        if self.refuse is not None:
            headers = [(b"fuchsiawell-refused", self.refuse), (b"content-length", b"0")]
            await send({"type": "http.response.start", "status": 503, "headers": headers})
            await send({"type": "http.response.body", "body": b""})
            return
        wanted = scope["query_string"].decode()
        if wanted.startswith("size="):
            body = b"x" * int(wanted[5:])
        headers = [(b"content-length", b"%d" % len(body))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        end = len(body) if self.cut_after_bytes is None else self.cut_after_bytes
        for start in range(0, end, 1 << 16):
            piece = body[start : min(end, start + (1 << 16))]
            await send({"type": "http.response.body", "body": piece, "more_body": True})
        if self.cut_after_bytes is not None:
            raise ConnectionError("cut on demand")
        await send({"type": "http.response.body", "body": b"", "more_body": False})


class Cell:
    """Start and stop the whole path, with ownership fixed by hand."""

    def __init__(self, limits: Limits | None = None) -> None:
        self.store = MemoryStore(SystemClock())
        self.servers = [EchoServer(id) for id in SERVERS]
        self.settings = [self._settings(id, limits or Limits()) for id in DAEMONS]
        self.log = io.StringIO()
        stores = Stores.single(self.store)
        self.applications = [Application(self._context(s), stores) for s in self.settings]
        self._http = [EmbeddedServer(server, server.address) for server in self.servers]

    async def start(self) -> None:
        configuration = Configuration(
            1,
            CELL,
            "fiji",
            ("vuda",),
            {
                SERVICE: Service(
                    SERVICE,
                    SHARDS,
                    4,
                    True,
                    True,
                    Goal.UNAVAILABLE_TIME,
                    kinds_by_name={kind.name: kind for kind in (STATUS, FEED, DROP)},
                )
            },
        )
        await self.store.put(configuration_key(CELL), encode_configuration(configuration), ABSENT)
        await self.store.put(assignment_key(CELL), encode_assignment(self.assignment()), ABSENT)
        for server in self._http:
            await server.start()
        for application in self.applications:
            await application.start()
        for application in self.applications:
            while application.ready() is not None:
                await asyncio.sleep(0.005)
            application._peers.set_addresses(  # known from the host list once control runs
                {s.daemon: str(s.peer_address) for s in self.settings}
            )

    async def stop(self) -> None:
        await asyncio.gather(*(application.stop() for application in self.applications))
        await asyncio.gather(*(server.stop() for server in self._http))

    async def crash(self, server: EchoServer) -> None:
        """End a server as a killed process ends: every connection is reset, nobody listens."""
        http = self._http[self.servers.index(server)]
        for listening in http._server.servers:
            listening.close()
        for connection in list(http._server.server_state.connections):
            connection.transport.abort()
        http._server.force_exit = True
        await http.stop()

    async def restart(self, server: EchoServer) -> None:
        self._http[self.servers.index(server)] = EmbeddedServer(server, server.address)
        await self._http[self.servers.index(server)].start()

    async def lead_all(self, leader: DaemonId) -> None:
        """Give all servers another leader under the next term, and wait until all know."""
        now = self.assignment()
        servers = {
            id: replace(server, leader=leader, term=server.term + 1)
            for id, server in now.servers_by_id.items()
        }
        record = (await self.store.get(assignment_key(CELL))).unwrap()
        assert record is not None
        value = encode_assignment(replace(now, servers_by_id=servers))
        await self.store.put(assignment_key(CELL), value, record.revision)
        for application in self.applications:
            while (known := application.state.assignment) is None or known.servers_by_id != servers:
                await asyncio.sleep(0.02)

    def assignment(self) -> Assignment:
        servers = {
            server.id: ServerRecord(
                server.id,
                SERVICE,
                str(server.address),
                "vuda",
                DAEMONS[n],
                1,
                ServerState.ACTIVE,
                True,
            )
            for n, server in enumerate(self.servers)
        }
        shards = {
            ShardId(SERVICE, n): ShardRecord(SERVERS[n % 2], 1, ShardState.ASSIGNED)
            for n in range(SHARDS)
        }
        return Assignment(CELL, DAEMONS[0], 1, tuple(DAEMONS), {SERVICE: SHARDS}, servers, shards)

    def server_of(self, key: str) -> EchoServer:
        route = self.assignment().route(SERVICE, key)
        assert route is not None
        assert route.server is not None
        return next(server for server in self.servers if server.id == route.server.id)

    def _settings(self, daemon: DaemonId, limits: Limits) -> Settings:
        return Settings(
            daemon, CELL, "fiji", "vuda", address(), address(), address(), "", "", limits=limits
        )

    def _context(self, settings: Settings) -> Context:
        clock, lamport = SystemClock(), LamportClock()
        log = open_event_log(settings.daemon, clock, lamport, stream=self.log)
        return Context(settings, clock, lamport, log, SeededIds(1), Random(1))
