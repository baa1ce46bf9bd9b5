"""The platform's store over HTTP, as the pages describe it, with the drill that they name."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from dataclasses import dataclass, replace
from urllib.parse import parse_qs, urlsplit

from sitekit.net import Connection, Message, Server, encode_response

ANSWER_S = 0.004
HISTORY_S = 20.0
MIN_TTL_S = 1.0
PAGE_ITEMS = 500
COPY_INTERVAL_S = 0.2
KEPT_COPIES_S = 12.0


@dataclass(frozen=True)
class Item:
    """A key as it is, or its removal if there is no value."""

    key: str
    value: bytes | None
    revision: int
    created: int
    lease: int = 0

    def row(self) -> dict[str, object]:
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        value = base64.b64encode(self.value).decode()
        return {
            "key": self.key,
            "value": value,
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


@dataclass(frozen=True)
class Lease:
    """A lease and when it ends."""

    ttl_s: float
    ends_s: float


@dataclass(frozen=True)
class Copy:
    """The whole store at a time."""

    at_s: float
    items: dict[str, Item]
    events: list[tuple[float, Item]]
    leases: dict[int, Lease]
    revision: int


def seconds(text: str) -> float:
    """Return a time of the pages, a number with `ms` or `s`."""
    return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])


class Store:
    """One store; the operator and the backend servers write into it directly."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.events: list[tuple[float, Item]] = []
        self.leases: dict[int, Lease] = {}
        self.revision = 40
        self.era = 1
        self.away = False
        self.put_log: list[tuple[float, str, int]] = []
        self._next_lease = 77000
        self._forgotten = self.revision
        self._changed = asyncio.Event()
        self._copies: list[Copy] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.server = Server(self._respond)

    async def start(self) -> None:
        await self.server.start()
        self._tasks = [
            asyncio.create_task(self._keep_copies()),
            asyncio.create_task(self._end_leases()),
        ]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.server.stop()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return the revision."""
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self._record(item)
        return self.revision

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record(Item(key, None, self.revision, 0))

    async def drill(self, copy_age_s: float, away_s: float) -> None:
        """Be away for a moment, and come back from a copy that is some seconds old.

        What was written since is gone, and so are the leases that were opened since.
        """
        left_s = time.monotonic()
        copy = [c for c in self._copies if c.at_s <= left_s - copy_age_s][-1]
        self.away = True
        self.server.stop()
        await asyncio.sleep(away_s)
        now_s = time.monotonic()
        self.items, self.events = dict(copy.items), list(copy.events)
        self.leases = {n: Lease(x.ttl_s, now_s + x.ttl_s) for n, x in copy.leases.items()}
        self.revision = copy.revision
        self.era += 1
        self._copies = [copy]
        self.away = False
        await self.server.start()
        self._changed.set()

    def _record(self, item: Item) -> None:
        now_s = time.monotonic()
        self.put_log.append((now_s, item.key, item.revision))
        self.events.append((now_s, item))
        while self.events and self.events[0][0] < now_s - HISTORY_S:
            self._forgotten = self.events.pop(0)[1].revision
        self._changed.set()

    async def _keep_copies(self) -> None:
        while True:
            await asyncio.sleep(COPY_INTERVAL_S)
            now_s = time.monotonic()
            if self.away:
                continue
            self._copies.append(
                Copy(now_s, dict(self.items), list(self.events), dict(self.leases), self.revision)
            )
            while self._copies[0].at_s < now_s - KEPT_COPIES_S:
                self._copies.pop(0)

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            if self.away:
                continue
            for number in [n for n, lease in self.leases.items() if lease.ends_s <= now_s]:
                self._end_lease(number)

    def _end_lease(self, number: int) -> bool:
        if self.leases.pop(number, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item.lease == number]:
            self.remove(key)
        return True

    async def _respond(self, connection: Connection, request: Message) -> None:
        await asyncio.sleep(ANSWER_S)
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        call = json.loads(request.body) if request.body else {}
        era = self.era
        status, answer = await self._answer(request.method, url.path, query, call)
        if self.away or self.era != era:
            connection.abort()
            return
        fields = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        await connection.send(encode_response(status, fields, json.dumps(answer).encode()))

    async def _answer(
        self, method: str, path: str, query: dict[str, str], call: dict
    ) -> tuple[int, object]:
        tail = path.rpartition("/")[2]
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"error": "no such key"}
            return 200, {**item.row(), "as_of": self.revision}
        if path == "/v1/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            rows = [self.items[key].row() for key in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            return 200, {"items": rows, "has_more": more, "as_of": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._transact(call)
        if path == "/v1/kv-lease":
            ttl_s = max(MIN_TTL_S, seconds(call["ttl_time"]))
            self._next_lease += 1
            self.leases[self._next_lease] = Lease(ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": self._next_lease, "ttl_time": f"{round(ttl_s * 1000)}ms"}
        if path.startswith("/v1/kv-keep/"):
            lease = self.leases.get(int(tail))
            if lease is None:
                return 404, {"error": "no such lease"}
            self.leases[int(tail)] = replace(lease, ends_s=time.monotonic() + lease.ttl_s)
            return 200, {"ttl_time": f"{round(lease.ttl_s * 1000)}ms"}
        if path.startswith("/v1/kv-lease-end/") and method == "DELETE":
            return (200, {}) if self._end_lease(int(tail)) else (404, {"error": "no such lease"})
        return 404, {"error": "no such call"}

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after > self.revision or after < self._forgotten:
                return 410, {"error": "this history is not there"}
            rows = [
                item.row()
                for _, item in self.events
                if item.revision > after and item.key.startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"events": rows, "as_of": self.revision}
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, call: dict) -> tuple[int, object]:
        expected = {row["key"]: row["revision"] for row in call.get("expect", [])}
        current = {key: self.items.get(key) for key in expected}
        for key, revision in expected.items():
            item = current[key]
            if revision != (item.revision if item else 0):
                return 412, {"items": [item.row() for item in current.values() if item]}
        writes = call.get("writes", [])
        if any(w.get("lease", 0) and w["lease"] not in self.leases for w in writes):
            return 404, {"error": "no such lease"}
        for write in writes:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
