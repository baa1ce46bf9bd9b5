"""A backend server as the pages describe it; it writes down what it is granted and what it runs."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from dataclasses import dataclass, field

from sitekit.net import Connection, Message, Server, encode_response
from sitekit.store import Store, seconds

KEYS = 65536
HEARTBEAT_S = 0.87
# Requests that wait for a slot; further ones are rejected.
QUEUE = 8


@dataclass
class Run:
    """A request that a backend began to work on."""

    at_s: float
    request_id: str
    backend: str
    service: str
    key: int | None
    target: str
    status: int = 0


@dataclass
class Hold:
    """A grant that was accepted, until it runs out, is released, or the backend ends."""

    first: int
    last: int
    fence: int
    from_s: float
    until_s: float
    renewal: bool = False


@dataclass(eq=False)
class _Work:
    """Work under way; that on released keys may end."""

    key: int
    released: bool = False
    ended: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass
class Backend:
    """One life of a backend server."""

    id: str
    service: str
    store: Store
    zone: str
    runs: list[Run]
    sharded: bool = False
    slots: int = 2
    work_s: float = 0.1
    queue: int = QUEUE
    # Share of the requests that it rejects although it could run them.
    shed_share: float = 0.0
    # Share of its answers that come a second time, where the next answer is expected.
    extra_share: float = 0.0
    holds: list[Hold] = field(default_factory=list)
    rejected: int = 0
    extra_sent: int = 0
    ended_s: float | None = None

    def __post_init__(self) -> None:
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self._random = random.Random(self.id)
        self._seen = [0] * KEYS
        self._until_s = [0.0] * KEYS
        self._fence = [0] * KEYS
        self._free = asyncio.Semaphore(self.slots)
        self._waiting = 0
        self._working: list[_Work] = []
        self._heartbeat: asyncio.Task[None] | None = None
        self.server = Server(self._respond)

    async def start(self) -> None:
        await self.server.start()
        self._write_entry()
        self._heartbeat = asyncio.create_task(self._beat())

    def drain(self) -> None:
        """Say in the store that this backend leaves."""
        self.state = "draining"
        self._write_entry()

    def stop(self, leave: bool = True) -> None:
        """End the process; take the entry back if it was planned."""
        if self.ended_s is not None:
            return
        self.ended_s = time.monotonic()
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        self.server.stop()
        if leave and not self.store.away:
            self.store.remove(f"servers/{self.id}")

    def _entry(self) -> dict[str, object]:
        return {
            "address": f"127.0.0.1:{self.server.port}",
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "seq": 1, "cold": "0ms"},
            "born": self.born,
        }

    def _write_entry(self) -> None:
        """Write the entry if it is not there or says something else."""
        value = json.dumps(self._entry()).encode()
        known = self.store.items.get(f"servers/{self.id}")
        if not self.store.away and (known is None or known.value != value):
            self.store.put(f"servers/{self.id}", value)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._write_entry()

    async def _respond(self, connection: Connection, request: Message) -> None:
        if request.target in ("/v1/grant", "/v1/release"):
            call = json.loads(request.body)
            if request.fields.get("expect-instance", self.id) != self.id:
                await connection.send(encode_response(421, self._not_run(None)))
            elif request.target == "/v1/grant":
                await connection.send(encode_response(self._take(call), {}))
            else:
                await self._release(call)
                handover = {"Handover": f"{call['fence']:016x}"}
                await connection.send(encode_response(200, handover))
            return
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            await connection.send(encode_response(status, {"Instance-Id": self.id}))
            return
        await self._serve(connection, request)

    def _take(self, call: dict) -> int:
        """Apply a grant; return the status."""
        first, last, fence = call["from"], call["to"], call["fence"]
        now_s, span = time.monotonic(), slice(call["from"], call["to"] + 1)
        if max(self._seen[span]) > fence:
            return 409
        until_s = now_s + seconds(call["hold_time"])
        renewal = all(
            self._fence[key] == fence and self._until_s[key] > now_s for key in {first, last}
        )
        count = last - first + 1
        self._seen[span] = self._fence[span] = [fence] * count
        self._until_s[span] = [until_s] * count
        self.holds.append(Hold(first, last, fence, now_s, until_s, renewal))
        return 200

    async def _release(self, call: dict) -> None:
        """Stop new work on keys, and wait for the end of that which runs."""
        first, last, now_s = call["from"], call["to"], time.monotonic()
        self._until_s[first : last + 1] = [0.0] * (last - first + 1)
        kept: list[Hold] = []
        for hold in self.holds:
            if hold.until_s <= now_s or hold.last < first or hold.first > last:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(
                    Hold(hold.first, first - 1, hold.fence, hold.from_s, hold.until_s, hold.renewal)
                )
            if hold.last > last:
                kept.append(
                    Hold(last + 1, hold.last, hold.fence, hold.from_s, hold.until_s, hold.renewal)
                )
            begin, end = max(first, hold.first), min(last, hold.last)
            kept.append(Hold(begin, end, hold.fence, hold.from_s, now_s, hold.renewal))
        self.holds = kept
        released = [work for work in self._working if first <= work.key <= last]
        for work in released:
            work.released = True
        for work in released:
            await work.ended.wait()

    def _not_run(self, request_id: str | None) -> dict[str, str]:
        fields = {"Not-Executed": "1", "Instance-Id": self.id}
        return fields if request_id is None else {"Request-Id": request_id, **fields}

    async def _serve(self, connection: Connection, request: Message) -> None:
        if connection.before_next:
            # The second answer to the request before comes where the next answer is expected.
            data, connection.before_next = connection.before_next, b""
            await connection.send(data)
        request_id = request.fields.get("request-id")
        key = request.fields.get("shard-key")
        if request_id is None:
            await connection.send(encode_response(400, self._not_run(None)))
            return
        if request.fields.get("expect-instance", self.id) != self.id:
            await self._reject(connection, 421, request_id)
            return
        number = int(key) if key is not None and self.sharded else None
        if self.sharded and (number is None or self._until_s[number] <= time.monotonic()):
            await self._reject(connection, 421, request_id)
            return
        if self.shed_share and self._random.random() < self.shed_share:
            await self._reject(connection, 503, request_id)
            return
        if self._free.locked() and self._waiting >= self.queue:
            await self._reject(connection, 503, request_id)
            return
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            await self._run(connection, request, request_id, number)
        finally:
            self._free.release()

    async def _reject(self, connection: Connection, status: int, request_id: str) -> None:
        self.rejected += 1
        await self._answer(connection, encode_response(status, self._not_run(request_id)))

    async def _run(
        self, connection: Connection, request: Message, request_id: str, key: int | None
    ) -> None:
        if key is not None and self._until_s[key] <= time.monotonic():
            await self._reject(connection, 421, request_id)
            return
        if connection.reader.at_eof() or connection.reader.exception() is not None:
            return
        run = Run(time.monotonic(), request_id, self.id, self.service, key, request.target)
        self.runs.append(run)
        entry = _Work(-1 if key is None else key)
        self._working.append(entry)
        try:
            limit_s = int(request.fields.get("deadline-ms", "30000")) / 1000
            gone = asyncio.ensure_future(connection.wait_peer_gone())
            work = asyncio.ensure_future(asyncio.sleep(min(self.work_s, limit_s)))
            try:
                await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                is_left = gone.done() and not work.done()
                for task in (gone, work):
                    task.cancel()
                    with contextlib.suppress(asyncio.CancelledError):
                        await task
            if is_left:
                run.status = -1
                return
            run.status = 504 if self.work_s > limit_s else 200
            if key is not None and not entry.released and self._until_s[key] <= time.monotonic():
                run.status = 500
        finally:
            entry.ended.set()
            self._working.remove(entry)
        fields = {
            "Request-Id": request_id,
            "Response-Signature": f"{self.id}.{request_id}",
            "Keep-Alive": "timeout=10",
        }
        body = f"{self.service} {self.id} ran {request_id}".encode()
        await self._answer(connection, encode_response(run.status, fields, body))

    async def _answer(self, connection: Connection, data: bytes) -> None:
        if self._random.random() < self.extra_share:
            self.extra_sent += 1
            connection.before_next = data
        await connection.send(data)
