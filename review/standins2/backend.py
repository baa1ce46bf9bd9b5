"""Stand-in for a backend server: PROTOCOL.md, "Backends" and "Keys that backends hold"."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from standins2.http11 import Answer, Request, serve

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins2.store import Store

__all__ = ["Backend", "Hold"]


@dataclass
class Hold:
    """A range of keys that a server holds until a monotonic time."""

    first: int
    last: int
    fence: int
    until_s: float


@dataclass
class Backend:
    """One incarnation of a server; `record` is called with what happens at it."""

    id: str
    service: str
    store: Store
    record: Callable[..., None]
    zone: str = "z0"
    sharded: bool = False
    slots: int = 4
    work_s: float = 0.02
    heartbeat_s: float = 1.0
    holds: list[Hold] = field(default_factory=list)
    seen: list[tuple[int, int, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.born = round(time.time() * 1000)
        self.state = "ready"
        self.port = 0
        self.up = False
        self._seq = 0
        self._free_slots = asyncio.Semaphore(self.slots)
        self._running: list[tuple[int, asyncio.Event]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listen and register."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.up = True
        self._beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """End at once; the entry in the store stays."""
        self.end_beats()
        if self._server is not None and self.up:
            self.up = False
            self.record("ended", server=self.id)
            self._server.close()
            for writer in list(self._writers):
                writer.transport.abort()

    def end_beats(self) -> None:
        """Write no entry any more."""
        if self._beats is not None:
            self._beats.cancel()

    def write_entry(self) -> None:
        self._seq += 1
        entry = {
            "address": f"127.0.0.1:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "seq": self._seq, "cold": "0ms"},
        }
        self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    def held(self, key: int) -> Hold | None:
        """Return the unexpired hold of a key."""
        now_s = time.monotonic()
        return next((h for h in self.holds if h.first <= key <= h.last and h.until_s > now_s), None)

    async def _beat(self) -> None:
        while True:
            if not self.store.away:
                self.write_entry()
            await asyncio.sleep(self.heartbeat_s)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await serve(reader, writer, self._handle)
        finally:
            self._writers.discard(writer)

    async def _handle(self, request: Request) -> Answer | None:
        request_id = request.fields.get("request-id", "")
        echo = {"request-id": request_id} if request_id else {}
        if request.fields.get("expect-instance", self.id) != self.id:
            return Answer(421, {**echo, "not-executed": "1", "instance-id": self.id})
        if request.target == "/v1/grant":
            return self._grant(json.loads(request.body), echo)
        if request.target == "/v1/release":
            return await self._release(json.loads(request.body), echo)
        self.record("arrives", server=self.id, request=request_id, target=request.target)
        key = int(request.fields.get("shard-key", "-1"))
        if self.sharded and self.held(key) is None:
            return Answer(421, {**echo, "not-executed": "1", "instance-id": self.id})
        ended = asyncio.Event()
        entry = (key, ended)
        self._running.append(entry)
        self.record("runs", server=self.id, request=request_id, key=key)
        try:
            async with self._free_slots:
                await asyncio.sleep(self.work_s)
        finally:
            self._running.remove(entry)
            ended.set()
        if self.sharded and self.held(key) is None:
            return Answer(500, {**echo, "response-signature": f"sig.{self.id}.{request_id}"})
        fields = {**echo, "response-signature": f"sig.{self.id}.{request_id}"}
        return Answer(200, fields, f"{self.id} ran {request_id}".encode())

    def _grant(self, call: dict[str, object], echo: dict[str, str]) -> Answer:
        first, last, fence = int(call["from"]), int(call["to"]), int(call["fence"])  # type: ignore[call-overload]
        text = str(call["hold_time"])
        hold_s = float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])
        now_s = time.monotonic()
        if any(seen > fence and a <= last and first <= b for a, b, seen in self.seen):
            return Answer(409, echo)
        self.seen.append((first, last, fence))
        self._remove(first, last)
        self.holds.append(Hold(first, last, fence, now_s + hold_s))
        self.record("granted", server=self.id, first=first, last=last, fence=fence, hold_s=hold_s)
        return Answer(200, echo)

    async def _release(self, call: dict[str, object], echo: dict[str, str]) -> Answer:
        first, last = int(call["from"]), int(call["to"])  # type: ignore[call-overload]
        self._remove(first, last)
        self.record("released", server=self.id, first=first, last=last)
        for key, ended in list(self._running):
            if first <= key <= last:
                await ended.wait()
        return Answer(200, {**echo, "handover": "5c0e7a21d94b36f8"})

    def _remove(self, first: int, last: int) -> None:
        kept = []
        for hold in self.holds:
            if hold.last < first or hold.first > last:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(Hold(hold.first, first - 1, hold.fence, hold.until_s))
            if hold.last > last:
                kept.append(Hold(last + 1, hold.last, hold.fence, hold.until_s))
        self.holds = kept
