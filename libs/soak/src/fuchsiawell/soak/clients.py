"""Clients of the soak, with persistent connections and all kinds of requests."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from fuchsiawell.httpio import (
    ClientConnection,
    InvalidResponseError,
    RequestHead,
    connect,
    first_value,
)
from fuchsiawell.soak.invariants import RequestResult
from fuchsiawell.soak.version_audit import NOT_FOUND

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from fuchsiawell.soak.daemons import Daemon
    from fuchsiawell.soak.invariants import InvariantChecker
    from fuchsiawell.soak.leaving_audit import LeavingAudit
    from fuchsiawell.soak.recover_audit import RecoverAudit
    from fuchsiawell.soak.version_audit import VersionAudit

__all__ = ["Clients"]

REQUEST_DEADLINE_S = 3.0
# Time between two requests for the newest route, each to the next daemon.
PROBE_INTERVAL_S = 0.1
# Clients from this number on send these requests.
FIRST_PROBER = 1_000_000
# Keys of these requests are this far apart, a prime.
PROBE_KEY_STEP = 4099
# (first path segment, method, body size in bytes); a repeated entry is chosen more often.
REQUEST_KINDS = (
    ("safe", "GET", 0),
    ("safe", "GET", 0),
    ("once", "POST", 300),
    ("up", "POST", 90_000),
)


class Clients:
    """Send requests until `stop`; each client uses one daemon at a time."""

    def __init__(
        self,
        daemons: list[Daemon],
        invariants: InvariantChecker,
        random: Random,
        leaving_audit: LeavingAudit,
        recover_audit: RecoverAudit,
    ) -> None:
        self._daemons = daemons
        self._invariants = invariants
        self._random = random
        self._leaving_audit = leaving_audit
        self._recover_audit = recover_audit
        self._request_count = 0
        self._stopped = False
        self.connections: dict[int, tuple[Daemon, ClientConnection]] = {}

    async def run(self, clients: int, request_interval_s: float) -> None:
        """Run this number of clients until `stop`."""
        await asyncio.gather(
            *(self._run_client(number, request_interval_s) for number in range(clients))
        )

    async def run_open_loop(self, interval_s: float, active: Callable[[], bool]) -> None:
        """Send to each daemon at even intervals while `active`, until `stop`.

        Requests that hang do not slow this load down, as they do that of `run`.
        """
        async with asyncio.TaskGroup() as requests:
            # Connections are kept by client; each of these clients sends one request.
            for client in itertools.count(-2, -1):
                await asyncio.sleep(interval_s / len(self._daemons))
                if self._stopped:
                    return
                if active():
                    daemon = self._daemons[client % len(self._daemons)]
                    requests.create_task(self._send_once(daemon, client))

    async def probe_versions(self, audit: VersionAudit) -> None:
        """Ask running daemons in turn for the newest route that they must know, until `stop`."""
        async with asyncio.TaskGroup() as requests:
            # Connections are kept by client; each of these clients sends one request.
            for number in itertools.count():
                await asyncio.sleep(PROBE_INTERVAL_S)
                if self._stopped:
                    return
                daemon = self._daemons[number % len(self._daemons)]
                version = audit.due_version(asyncio.get_running_loop().time())
                if version and daemon.running:
                    requests.create_task(self._probe(daemon, version, number, audit))

    def stop(self) -> None:
        """End each client after its current request."""
        self._stopped = True

    async def send_request(self, daemon: Daemon, key: int, client: int = -1) -> RequestResult:
        """Send one request of a random kind and check its result."""
        kind, method, body_bytes = self._random.choice(REQUEST_KINDS)
        sent_s = asyncio.get_running_loop().time()
        result = await self._attempt(daemon, key, client, kind, method, body_bytes)
        self._invariants.check_result(result)
        # No client repeats a request: each is a first try.
        self._recover_audit.record_first_try(daemon.name, sent_s, result.status == 200)
        late_s = asyncio.get_running_loop().time() - sent_s - REQUEST_DEADLINE_S
        if late_s > 0:
            self._invariants.overdue.append((daemon.name, sent_s + REQUEST_DEADLINE_S, late_s))
        return result

    async def _probe(self, daemon: Daemon, version: int, number: int, audit: VersionAudit) -> None:
        loop, client = asyncio.get_running_loop(), FIRST_PROBER + number
        sent_s, key = loop.time(), number * PROBE_KEY_STEP % 65536
        result = await self._attempt(daemon, key, client, f"version{version}", "GET", 0)
        self._close_connection(client)
        audit.record_answer(daemon.name, version, result.status, sent_s, loop.time())
        if result.status != NOT_FOUND:
            self._invariants.check_result(result)

    async def _attempt(
        self, daemon: Daemon, key: int, client: int, kind: str, method: str, body_bytes: int
    ) -> RequestResult:
        """Send one request and return what came of it."""
        self._request_count += 1
        request_id = f"q{self._request_count}"
        idempotent = method == "GET"
        self._invariants.record_sent(request_id, idempotent)
        loop = asyncio.get_running_loop()
        self._leaving_audit.record_sent(request_id, daemon.name, loop.time())
        fields = [
            (b"host", b"a.example"),
            (b"request-id", request_id.encode()),
            (b"deadline-ms", str(int(REQUEST_DEADLINE_S * 1000)).encode()),
            (b"shard-key", str(key).encode()),
        ]
        head = RequestHead(method.encode(), f"/{kind}/{key}".encode(), fields)
        try:
            return await self._exchange(daemon, client, head, body_bytes, request_id, idempotent)
        except (OSError, InvalidResponseError):
            self._close_connection(client)
            return RequestResult(request_id, idempotent, 0, None, False, b"")

    async def _send_once(self, daemon: Daemon, client: int) -> None:
        await self.send_request(daemon, self._random.randrange(65536), client)
        self._close_connection(client)

    async def _run_client(self, number: int, request_interval_s: float) -> None:
        while not self._stopped:
            connected = self.connections.get(number)
            daemon = connected[0] if connected else self._random.choice(self._daemons)
            result = await self.send_request(daemon, self._random.randrange(65536), number)
            if result.status not in (200,) and self._random.random() < 0.5:
                self._close_connection(number)
            await asyncio.sleep(request_interval_s * self._random.uniform(0.5, 1.5))
        self._close_connection(number)

    async def _exchange(
        self,
        daemon: Daemon,
        client: int,
        head: RequestHead,
        body_bytes: int,
        request_id: str,
        idempotent: bool,
    ) -> RequestResult:
        async with asyncio.timeout(REQUEST_DEADLINE_S + 2.0):
            kept_to, connection = self.connections.pop(client, (None, None))
            if connection is not None and kept_to is not daemon:
                connection.close()
                connection = None
            if connection is None or not connection.usable:
                connection = await connect("127.0.0.1", daemon.client_port, 1.0)
            exchange = connection.start(head, body_bytes)
            if body_bytes:
                await exchange.send_body_chunk(b"x" * body_bytes)
            await exchange.finish_body()
            response = await exchange.read_response_head(lambda _: True)
            body = bytearray()
            while (chunk := await exchange.read_body_chunk()) is not None:
                body += chunk
        if exchange.reusable:
            self.connections[client] = (daemon, connection)
        else:
            connection.close()
        if first_value(response.fields, b"server-leaving") is not None:
            server, now_s = body.split(b" ")[0].decode(), asyncio.get_running_loop().time()
            self._leaving_audit.record_told(server, daemon.name, now_s)
        response_id = first_value(response.fields, b"request-id")
        return RequestResult(
            request_id,
            idempotent,
            response.status,
            response_id.decode() if response_id else None,
            first_value(response.fields, b"response-signature") is not None,
            bytes(body),
        )

    def _close_connection(self, number: int) -> None:
        connected = self.connections.pop(number, None)
        if connected is not None:
            connected[1].close()
