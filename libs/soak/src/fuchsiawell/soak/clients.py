"""Clients that keep connections open and send requests of all kinds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.httpio import (
    ClientConnection,
    InvalidResponseError,
    RequestHead,
    connect,
    first_value,
)
from fuchsiawell.soak.invariants import Got

if TYPE_CHECKING:
    from random import Random

    from fuchsiawell.soak.daemons import Daemon
    from fuchsiawell.soak.invariants import Promises

__all__ = ["Clients"]

PATIENCE_S = 3.0
KINDS = (("safe", "GET", 0), ("safe", "GET", 0), ("once", "POST", 300), ("up", "POST", 90_000))


class Clients:
    """Send requests until told to stop; each client uses one daemon at a time."""

    def __init__(self, daemons: list[Daemon], promises: Promises, random: Random) -> None:
        self._daemons = daemons
        self._promises = promises
        self._random = random
        self._number = 0
        self._stopped = False
        self.open: dict[int, tuple[Daemon, ClientConnection]] = {}

    async def run(self, clients: int, pause_s: float) -> None:
        """Run a number of clients until `stop`."""
        await asyncio.gather(*(self._client(number, pause_s) for number in range(clients)))

    def stop(self) -> None:
        """Let every client finish its request and end."""
        self._stopped = True

    async def ask(self, daemon: Daemon, key: int, client: int = -1) -> Got:
        """Send one request of a random kind."""
        kind, method, size = self._random.choice(KINDS)
        self._number += 1
        request_id = f"q{self._number}"
        repeatable = kind == "safe"
        self._promises.sends(request_id, repeatable)
        fields = [
            (b"host", b"a.example"),
            (b"request-id", request_id.encode()),
            (b"deadline-ms", str(int(PATIENCE_S * 1000)).encode()),
            (b"shard-key", str(key).encode()),
        ]
        head = RequestHead(method.encode(), f"/{kind}/{key}".encode(), fields)
        try:
            got = await self._exchange(daemon, client, head, size, request_id, repeatable)
        except (OSError, InvalidResponseError):
            self._drop(client)
            got = Got(request_id, repeatable, 0, None, False, b"")
        self._promises.got(got)
        return got

    async def _client(self, number: int, pause_s: float) -> None:
        while not self._stopped:
            held = self.open.get(number)
            daemon = held[0] if held else self._random.choice(self._daemons)
            got = await self.ask(daemon, self._random.randrange(65536), number)
            if got.status not in (200,) and self._random.random() < 0.5:
                self._drop(number)
            await asyncio.sleep(pause_s * self._random.uniform(0.5, 1.5))
        self._drop(number)

    async def _exchange(
        self,
        daemon: Daemon,
        client: int,
        head: RequestHead,
        size: int,
        request_id: str,
        repeatable: bool,
    ) -> Got:
        async with asyncio.timeout(PATIENCE_S + 2.0):
            held = self.open.pop(client, None)
            connection = held[1] if held else None
            if connection is None or not connection.usable:
                connection = await connect("127.0.0.1", daemon.client_port, 1.0)
            exchange = connection.start(head, size)
            if size:
                await exchange.send_body_chunk(b"x" * size)
            await exchange.finish_body()
            answer = await exchange.read_response_head(lambda _: True)
            body = b""
            while (piece := await exchange.read_body_chunk()) is not None:
                body += piece
        if exchange.reusable:
            self.open[client] = (daemon, connection)
        else:
            connection.close()
        answered = first_value(answer.fields, b"request-id")
        return Got(
            request_id,
            repeatable,
            answer.status,
            answered.decode() if answered else None,
            first_value(answer.fields, b"response-signature") is not None,
            body,
        )

    def _drop(self, number: int) -> None:
        held = self.open.pop(number, None)
        if held is not None:
            held[1].close()
