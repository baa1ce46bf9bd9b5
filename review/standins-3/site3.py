"""Small stand-ins for the review's scripts: store, backend servers, clients, and daemon processes.

Only the standard library is used. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
ROUTE_COLUMNS = [
    "name",
    "host",
    "path_prefix",
    "kind",
    "timeout",
    "target_latency",
    "priority",
    "service",
    "max_attempts",
    "traffic_split",
]
SERVICE_COLUMNS = [
    "name",
    "health_path",
    "max_conns",
    "protocol",
    "tls",
    "sharded",
    "warmup",
    "grants",
]
# Ways in which the service of a connection ends.
ENDS = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)


def now_s() -> float:
    return time.monotonic()


async def read_head(reader):
    """Return the start line and the header fields (lower-case names), None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.started_s = now_s()
        self._file = Path(path).open("w", encoding="utf-8")  # noqa: SIM115

    def write(self, *words):
        self._file.write(f"{now_s() - self.started_s:9.3f} {' '.join(map(str, words))}\n")
        self._file.flush()


class Store:
    """The platform's store; each daemon has a listener of its own, so that it can be refused."""

    def __init__(self):
        self.revision = 100
        self.items = {}  # key: (value, revision, created, lease)
        self.events = deque()  # (time, revision, row)
        self.leases = {}  # id: [ttl_s, expires_s]
        self._last_lease = 1000
        self._changed = asyncio.Event()
        self._forgotten = self.revision
        self.modes = {}  # listener: "ok", "busy" (503)
        self.era = None
        self._servers = []
        self._tasks = []

    async def start(self):
        self._tasks.append(asyncio.create_task(self._expire()))

    async def listen(self, name):
        self.modes[name] = "ok"

        async def serve(reader, writer):
            with contextlib.suppress(*ENDS):
                await self._serve(name, reader, writer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def close(self):
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    def copy(self):
        """Return a copy of all that the store holds."""
        leases = {lease: list(times) for lease, times in self.leases.items()}
        return self.revision, dict(self.items), leases, list(self.events), self._forgotten

    def restore(self, copy):
        """Come back from an older copy, in the next era; leases of the copy begin anew."""
        self.era += 1
        self.revision, self.items, leases, events, self._forgotten = copy
        self.leases = {lease: [ttl_s, now_s() + ttl_s] for lease, (ttl_s, _) in leases.items()}
        self.events = deque(events)
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self._change([(key, value, lease)], [])

    def remove(self, key):
        if key in self.items:
            self._change([], [key])

    def _change(self, writes, removals):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self._event(self._row(key))
        for key in removals:
            if self.items.pop(key, None) is not None:
                self._event({"key": key, "revision": self.revision, "deleted": True})
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def _event(self, row):
        self.events.append((now_s(), self.revision, row))
        while self.events and self.events[0][0] < now_s() - 20.0:
            self._forgotten = self.events.popleft()[1]

    def _row(self, key):
        value, revision, created, lease = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": lease,
        }

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [i for i, (_, end_s) in self.leases.items() if end_s <= now_s()]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self._change([], keys)

    async def _serve(self, name, reader, writer):
        while (head := await read_head(reader)) is not None:
            line, fields = head
            body = await read_body(reader, fields)
            if self.modes[name] != "ok":
                status, answer = 503, {"error": "busy"}
            else:
                method, target, _ = line.split(" ")
                status, answer = await self._call(method, target, body)
            data = json.dumps(answer).encode()
            era = "" if self.era is None else f"Store-Era: {self.era}\r\n"
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{era}"
                f"Content-Length: {len(data)}\r\n\r\n".encode() + data
            )
            await writer.drain()

    async def _call(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        path = url.path
        if path == "/v1/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"as_of": self.revision}
            return 200, {**self._row(key), "as_of": self.revision}
        if path == "/v1/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self._row(key) for key in keys[:50]]
            return 200, {"items": items, "has_more": len(keys) > 50, "as_of": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(
                query.get("path_prefix", ""), int(query["after"]), int(query["wait_ms"]) / 1000
            )
        if path == "/v1/kv-txn":
            return self._transact(json.loads(body))
        if path == "/v1/kv-lease":
            ttl_s = parse_s(json.loads(body)["ttl_time"])
            self._last_lease += 1
            self.leases[self._last_lease] = [ttl_s, now_s() + ttl_s]
            return 200, {"lease": self._last_lease, "ttl_time": f"{ttl_s * 1000:.0f}ms"}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/v1/kv-keep/"):
            ttl_s = self.leases[lease][0]
            self.leases[lease][1] = now_s() + ttl_s
            return 200, {"ttl_time": f"{ttl_s * 1000:.0f}ms"}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, prefix, after, wait_s):
        until_s, era = now_s() + wait_s, self.era
        while True:
            if self.era != era:
                # A watch of before the copy is cut.
                raise ConnectionResetError
            if not self._forgotten <= after <= self.revision:
                return 410, {}
            rows = [r for _, rev, r in self.events if rev > after and r["key"].startswith(prefix)]
            left_s = until_s - now_s()
            if rows or left_s <= 0:
                return 200, {"events": rows, "as_of": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    def _transact(self, call):
        expected = call.get("expect", [])
        actual = {row["key"]: self.items.get(row["key"], (0, 0))[1] for row in expected}
        if any(actual[row["key"]] != row["revision"] for row in expected):
            return 412, {"items": [self._row(key) for key in actual if key in self.items]}
        writes = call.get("writes", [])
        if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
            return 404, {}
        rows = [(r["key"], base64.b64decode(r["value"]), r.get("lease", 0)) for r in writes]
        return 200, {"revision": self._change(rows, call.get("remove", []))}


def parse_s(text):
    return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])


class Backend:
    """A backend server: slots, a queue, keys where the service is divided, beats to the store."""

    def __init__(self, site, name, service, slots=4, work_s=0.1, sharded=False, zone="z1"):
        self.site, self.id, self.service = site, name, service
        self.slots, self.work_s, self.sharded, self.zone = slots, work_s, sharded, zone
        self.queue = 16
        self.born = 0
        self.port = 0
        self.state = "ready"
        self.reaches_store = True
        self.up = False
        self.running = self.waiting = 0
        # "The backends of some services never respond to a request that they cannot queue."
        self.is_silent_when_full = False
        self.on_overflow = lambda request_id: None
        self.extra_fields = lambda request_id: []
        self.crashes_on = lambda path: False
        self.on_run = lambda request_id, fields: None
        self.on_arrival = lambda request_id, fields: None
        # Whether the next order (grant or release) gets no answer and is carried out late.
        self.delays_order = lambda: None
        self.grants = []  # (first, last, fence, expires_s)
        self._seen = []  # (first, last, fence)
        self._server = None
        self._writers = set()
        self._tasks = set()
        self._beats = None

    async def start(self):
        self.born, self.up = int(time.time() * 1000), True
        self.grants, self._seen = [], []
        self.running = self.waiting = 0
        self._slots = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._beat())

    def crash(self):
        """End at once, as a killed process does."""
        self.up = False
        self._server.close()
        self._beats.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _beat(self):
        sequence = 0
        while True:
            sequence += 1
            if self.reaches_store:
                self.site.beat(self, sequence)
            await asyncio.sleep(HEARTBEAT_S)

    def entry(self, sequence):
        return json.dumps(
            {
                "address": f"127.0.0.1:{self.port}",
                "born": self.born,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "slots": self.slots,
                },
                "status": {"state": self.state, "seq": sequence, "cold": "0ms"},
            }
        ).encode()

    def owns(self, key):
        return any(a <= key <= b and end_s > now_s() for a, b, _, end_s in self.grants)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            with contextlib.suppress(*ENDS):
                while (head := await read_head(reader)) is not None:
                    await self._answer(writer, *await self._serve(reader, *head))
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _serve(self, reader, line, fields):
        """Return status, fields and body of the answer."""
        body = await read_body(reader, fields)
        _, target, _ = line.split(" ")
        request_id = fields.get("request-id", "")
        if target == "/health":
            return 200, [f"Instance-Id: {self.id}"], b""
        if fields.get("expect-instance", self.id) != self.id:
            named = [f"Instance-Id: {self.id}", f"Request-Id: {request_id}"]
            return 421, named, b""
        if target.startswith("/v1/"):
            return await self._control(target, json.loads(body), request_id)
        self.on_arrival(request_id, fields)
        extra = [f"Request-Id: {request_id}", *self.extra_fields(request_id)]
        key = fields.get("shard-key")
        if self.sharded and (key is None or not self.owns(int(key))):
            return 421, [*extra, f"Instance-Id: {self.id}", "Not-Executed: 1"], b""
        if self.running + self.waiting >= self.slots + self.queue:
            if self.is_silent_when_full:
                # Nor does it respond to any further request on this connection.
                self.on_overflow(request_id)
                await asyncio.sleep(3600)
            return 503, [*extra, "Not-Executed: 1"], b""
        deadline_s = now_s() + int(fields.get("deadline-ms", "30000")) / 1000
        self.waiting += 1
        try:
            async with asyncio.timeout(deadline_s - now_s()):
                await self._slots.acquire()
        except TimeoutError:
            return 503, [*extra, "Not-Executed: 1"], b""
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.on_run(request_id, fields)
            if self.crashes_on(target):
                asyncio.get_running_loop().call_soon(self.crash)
                await asyncio.sleep(60)
            work_s = self.work_s() if callable(self.work_s) else self.work_s
            await asyncio.sleep(max(0.0, min(work_s, deadline_s - now_s())))
        finally:
            self.running -= 1
            self._slots.release()
        answer = f"{self.id} ran {request_id}".encode()
        return 200, [*extra, f"Response-Signature: s.{request_id}"], answer

    async def _control(self, target, call, request_id):
        arrived_s = now_s()
        delay_s = self.delays_order()
        if delay_s is not None:
            # No answer; the order is carried out later, and its time counts from its arrival.
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._carry_out, target, call, arrived_s, self.born)
            await asyncio.sleep(3600)
        status = self._carry_out(target, call, arrived_s, self.born)
        fields = [f"Request-Id: {request_id}"] if request_id else []
        if target == "/v1/release":
            fields.append("Handover: warm")
        return status, fields, b""

    def _carry_out(self, target, call, arrived_s, born):
        first, last, fence = call["from"], call["to"], call["fence"]
        if born != self.born or not self.up:
            return 503
        if target == "/v1/release":
            self._take(first, last)
            return 200
        if any(s > fence and a <= last and first <= b for a, b, s in self._seen):
            return 409
        self._seen.append((first, last, fence))
        self._take(first, last)
        self.grants.append((first, last, fence, arrived_s + parse_s(call["hold_time"])))
        return 200

    def _take(self, first, last):
        kept = []
        for a, b, fence, end_s in self.grants:
            if b < first or a > last:
                kept.append((a, b, fence, end_s))
                continue
            if a < first:
                kept.append((a, first - 1, fence, end_s))
            if b > last:
                kept.append((last + 1, b, fence, end_s))
        self.grants = [grant for grant in kept if grant[3] > now_s()]

    async def _answer(self, writer, status, fields, body):
        lines = "".join(f"{field}\r\n" for field in fields)
        head = f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()


class Daemon:
    """One daemon process, started with the command of the deploy file."""

    def __init__(self, site, number, zone="z1"):
        self.site, self.name, self.ip, self.zone = site, f"front-{zone}-{number}", "", zone
        self.ip = f"127.0.1.{number}"
        self.process = None
        self.store_port = 0
        self.started_s = 0.0
        self.ends = []

    @property
    def settings_path(self):
        return self.site.folder / f"{self.name}.json"

    def write_settings(self, **bounds):
        site = self.site
        document = {
            "grants": "call",
            "self": {
                "node": self.name,
                "role": "router",
                "class": "front",
                "serves": ["front"],
                "ip": self.ip,
                "zone": self.zone,
                "region": "r1",
                "counts_as_loss": False,
                "bootstrap": True,
                "data_dir": None,
                "limits": {
                    "cpu_share": 0.86,
                    "cores": 1,
                    "memory_mb": 300,
                    "max_fds": 4100,
                    "link_mbps": 1000.0,
                    "disk_mb": 0,
                },
            },
            "network": {
                "listen": {
                    "front": f"{self.ip}:{site.ports}",
                    "ready": f"{self.ip}:{site.ports + 1}",
                },
                "internal_ports": [site.ports + 2, site.ports + 12],
                "seeds": [],
                "zones": {self.zone: "r1"},
            },
            "provider": {
                "discovery": "platform",
                "entry": "vip",
                "heartbeat": f"{HEARTBEAT_S * 1000:.0f}ms",
                "provider": {
                    "address": f"127.0.0.1:{self.store_port}",
                    "form": "kv",
                    "writes_per_s": 400,
                    "reads_per_s": 2000,
                    "history": "20s",
                    "value_bytes": 1048576,
                    "min_ttl": "1000ms",
                },
            },
            "sections": {
                "contracts": ["base", "drain", "config", "retry", "recover", "own", "platform"],
                "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
                "bounds": {
                    "contact": "3000ms",
                    "drain": "2000ms",
                    "grace": "6s",
                    "loss_slack": "200ms",
                    "config_apply": "2000ms",
                    "retry_budget_ratio": 0.2,
                    "budget_window": "10s",
                    "budget_slack": 64,
                    "recovery": "15s",
                    "max_hold": "10000ms",
                    "thaw": "300ms",
                    **bounds,
                },
            },
        }
        temporary = self.settings_path.with_suffix(".new")
        temporary.write_text(json.dumps(document))
        temporary.replace(self.settings_path)

    async def start(self):
        if not self.store_port:
            self.store_port = await self.site.store.listen(self.name)
            self.write_settings()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["FUCHSIAWELL_BOOT"] = str(self.settings_path)
        self.started_s = now_s()
        self._spawn(environment)

    def _spawn(self, environment):
        with (self.site.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "fuchsiawell.adapter", "--options", "deploy/options.json"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.site.processes.append(self.process)

    async def ready(self):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.site.ports + 1)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n")
                head = await read_head(reader)
                writer.close()
        except OSError:
            return False
        return head is not None and head[0].split(" ")[1] == "200"

    async def wait_ready(self, timeout_s=20.0):
        until_s = now_s() + timeout_s
        while not await self.ready():
            if now_s() > until_s or self.process.poll() is not None:
                raise CannotRunError(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)

    async def wait_end(self, timeout_s):
        until_s = now_s() + timeout_s
        while self.process.poll() is None and now_s() < until_s:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        return self.process.poll()


class CannotRunError(Exception):
    """The case could not be run on this machine."""


class Site:
    """Store, backend servers and daemons of one script."""

    def __init__(self, folder, record):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = record
        self.store = Store()
        self.backends = {}
        self.daemons = []
        self.processes = []
        self.ports = 0
        self._beaten_s = {}
        self._version = 0
        self._configuration = b""
        self._tasks = []

    async def start(self, daemons):
        await self.store.start()
        self._tasks.append(asyncio.create_task(self._expire_entries()))
        self.daemons = [Daemon(self, number + 1) for number in range(daemons)]
        self.ports = _free_ports([daemon.ip for daemon in self.daemons])

    async def stop(self):
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()
        for task in self._tasks:
            task.cancel()
        for backend in self.backends.values():
            if backend.up:
                backend.crash()
        self.store.close()

    def configure(self, routes, services):
        """Write the next version; `routes` are dictionaries, `services` maps names to `sharded`."""
        self._version += 3
        body = {
            "version": f"{self._version:08x}",
            "routes": {
                "columns": ROUTE_COLUMNS,
                "rows": [[route.get(column) for column in ROUTE_COLUMNS] for route in routes],
            },
            "services": {
                "columns": SERVICE_COLUMNS,
                "rows": [
                    [
                        name,
                        "/health",
                        130,
                        "h1",
                        False,
                        *([True, "2s", "call"] if sharded else [None] * 3),
                    ]
                    for name, sharded in services.items()
                ],
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout": "3000ms",
                "idle_timeout": "15000ms",
            },
        }
        self._configuration = json.dumps(body).encode()
        self.store.put("op/config", self._configuration)

    def add(self, backend):
        self.backends[backend.id] = backend
        return backend

    def beat(self, backend, sequence):
        self._beaten_s[backend.id] = now_s()
        self.store.put(f"servers/{backend.id}", backend.entry(sequence))

    def forget(self, backend):
        """Remove the entry of a server that leaves."""
        self._beaten_s.pop(backend.id, None)
        self.store.remove(f"servers/{backend.id}")

    def write_again(self):
        """Write what a store that came back from a copy lacks: the operator's and servers' part."""
        self.store.put("op/config", self._configuration)
        for backend in self.backends.values():
            if backend.up and backend.reaches_store:
                self.beat(backend, 1000)
        for key in self.store.items:
            if key.startswith("servers/"):
                # Entries of the copy that nobody renews expire.
                self._beaten_s.setdefault(key.removeprefix("servers/"), now_s())

    async def _expire_entries(self):
        while True:
            await asyncio.sleep(0.1)
            for name, beaten_s in list(self._beaten_s.items()):
                if now_s() - beaten_s > 3 * HEARTBEAT_S:
                    del self._beaten_s[name]
                    self.store.remove(f"servers/{name}")
                    self.record.write("store: entry of", name, "has expired")

    async def request(self, daemon, method, host, path, request_id, deadline_s, key=None, body=b""):
        """Send one request on a new connection; return its status (0: none) and fields."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_s * 1000:.0f}",
            f"Sent-To: {daemon.name}",
        ]
        if key is not None:
            lines.append(f"Shard-Key: {key}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer = None
        try:
            async with asyncio.timeout(deadline_s):
                reader, writer = await asyncio.open_connection(daemon.ip, self.ports)
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                head = await read_head(reader)
                if head is None:
                    return 0, {}
                await read_body(reader, head[1])
                return int(head[0].split(" ")[1]), head[1]
        except (OSError, asyncio.IncompleteReadError):
            return 0, {}
        finally:
            if writer is not None:
                writer.close()


def _free_ports(ips):
    """Return the first of 16 ports that are free at all addresses."""
    for number in range(600):
        first = 21000 + (os.getpid() * 16 + number * 16) % 9600
        sockets = []
        try:
            for ip in ips:
                for port in range(first, first + 14):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sockets.append(socket.socket(socket.AF_INET, kind))
                        sockets[-1].bind((ip, port))
        except OSError:
            continue
        else:
            return first
        finally:
            for each in sockets:
                each.close()
    raise CannotRunError("no free ports")


def run_case(folder, scenario, limit_s=115.0):
    """Run a scenario; exit with 1 if it returns what was broken, 0 if nothing, 2 if it cannot run.

    With TROUBLE=0 in the environment the scenario is told to leave out the disruption.
    """
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("disruption:", "yes" if trouble else "none")

    async def run():
        site = Site(folder, record)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            # So that the processes are ended too.
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                return await scenario(site, trouble)
        finally:
            await site.stop()

    try:
        broken = asyncio.run(run())
    except (CannotRunError, TimeoutError, asyncio.CancelledError) as error:
        record.write("could not run:", repr(error))
        print(f"could not run: {error!r}")
        sys.exit(2)
    verdict = f"broken: {broken}" if broken else "held"
    record.write(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)
