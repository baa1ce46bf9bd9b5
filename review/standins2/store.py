"""Stand-in for the platform's store: PROTOCOL.md, "The platform's metadata store"."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins2.http11 import Answer, Request, serve

__all__ = ["Store"]

PAGE_ITEMS = 500


@dataclass(frozen=True)
class Item:
    key: str
    value: bytes | None
    revision: int
    created: int
    lease: int

    def row(self) -> dict[str, Any]:
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


class Store:
    """Keys, history and leases; `away` makes it reset all connections.

    `roll_back` puts a copy in its place, as in a drill: the revisions go back, and the era rises.
    """

    def __init__(self) -> None:
        self.era = 1
        self.away = False
        self.revision = 100
        self.items: dict[str, Item] = {}
        self.events: list[Item] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.port = 0
        self._next_lease = 1000
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._expiry: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._expiry = asyncio.create_task(self._expire())

    async def stop(self) -> None:
        assert self._server is not None and self._expiry is not None
        self._server.close()
        self._expiry.cancel()
        self.away = True
        self.reset_connections()
        self._wake()
        # Watches that wait end now.
        await asyncio.sleep(0.05)

    def reset_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, as the operator and the servers do; return the acknowledged revision."""
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known is not None else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self._add_event(item)
        return self.revision

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event(Item(key, None, self.revision, 0, 0))

    def copy(self) -> tuple[int, dict[str, Item], list[Item], dict[int, tuple[float, float]]]:
        """Return a copy of all that the store holds."""
        return self.revision, dict(self.items), list(self.events), dict(self.leases)

    def roll_back(
        self, copy: tuple[int, dict[str, Item], list[Item], dict[int, tuple[float, float]]]
    ) -> None:
        """Come back from a copy: what was written since is gone, leases too."""
        now_s = time.monotonic()
        self.revision, self.items, self.events = copy[0], dict(copy[1]), list(copy[2])
        self.leases = {number: (ttl_s, now_s + ttl_s) for number, (ttl_s, _) in copy[3].items()}
        self.era += 1
        self._wake()

    def _add_event(self, item: Item) -> None:
        self.events.append(item)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if not self.away:
                now_s = time.monotonic()
                for number in [n for n, (_, until_s) in self.leases.items() if until_s <= now_s]:
                    self._end_lease(number)

    def _end_lease(self, number: int) -> bool:
        if self.leases.pop(number, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item.lease == number]:
            self.remove(key)
        return True

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.away:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            await serve(reader, writer, self._handle)
        finally:
            self._writers.discard(writer)

    async def _handle(self, request: Request) -> Answer | None:
        if self.away:
            return None
        era = self.era
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        status, result = await self._call(request.method, url.path, query, body)
        if self.away or era != self.era:
            # A waiting watch is cut when the store goes away.
            return None
        fields = {"content-type": "application/json", "store-era": str(self.era)}
        return Answer(status, fields, json.dumps(result).encode())

    async def _call(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        match method, path.split("/")[2:]:
            case "GET", ["kv-key"]:
                item = self.items.get(query["key"])
                return (404, {}) if item is None else (200, {**item.row(), "as_of": self.revision})
            case "GET", ["kv-range"]:
                prefix, after = query.get("path_prefix", ""), query.get("after", "")
                found = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                rows = [self.items[key].row() for key in found[:PAGE_ITEMS]]
                more = len(found) > PAGE_ITEMS
                return 200, {"items": rows, "has_more": more, "as_of": self.revision}
            case "GET", ["kv-watch"]:
                return await self._watch(query)
            case "POST", ["kv-txn"]:
                return self._transact(body)
            case "POST", ["kv-lease"]:
                ttl_s = _seconds(body["ttl_time"])
                self._next_lease += 1
                self.leases[self._next_lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {"lease": self._next_lease, "ttl_time": body["ttl_time"]}
            case "POST", ["kv-keep", number]:
                lease = self.leases.get(int(number))
                if lease is None:
                    return 404, {}
                self.leases[int(number)] = (lease[0], time.monotonic() + lease[0])
                return 200, {"ttl_time": f"{round(lease[0] * 1000)}ms"}
            case "DELETE", ["kv-lease-end", number]:
                return (200, {}) if self._end_lease(int(number)) else (404, {})
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after, era = query.get("path_prefix", ""), int(query["after"]), self.era
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after > self.revision:
                return 410, {}
            events = [e for e in self.events if e.revision > after and e.key.startswith(prefix)]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0 or self.away or era != self.era:
                return 200, {"events": [e.row() for e in events], "as_of": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = [(row["key"], row["revision"]) for row in body.get("expect", [])]
        if any(self._revision_of(key) != revision for key, revision in expected):
            keys = [key for key, _ in expected if key in self.items]
            return 412, {"items": [self.items[key].row() for key in keys]}
        writes = body.get("writes", [])
        if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
            return 404, {}
        for row in writes:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease") or 0)
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _revision_of(self, key: str) -> int:
        item = self.items.get(key)
        return 0 if item is None else item.revision


def _seconds(text: str) -> float:
    return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])
