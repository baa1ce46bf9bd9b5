"""Measure one checkout: processor time of requests, of daemons at rest, and of the imports.

Daemons, servers, store and clients are in this process; connections and datagrams are in memory
and waits take no time. Run `make benchmark`; the sources on the Python path are measured.
"""

from __future__ import annotations

import asyncio
import gc
import io
import json
import sys
import time
from dataclasses import asdict, dataclass
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from fuchsiawell.gateway.application import Application
    from fuchsiawell.standins import VirtualHosts

__all__ = ["Figures", "measure"]

SEED = 1
DAEMONS, SERVERS_PER_SERVICE, CLIENTS_PER_DAEMON = 3, 6, 8
SERVICE_TIME_S, ONE_WAY_DELAY_S = 0.02, 0.001
UPLOAD, RESPONSE_BYTES = b"x" * 500, 1_000
# Requests before the measurement open connections and fill estimates.
WARM_UP_REQUESTS, REQUESTS, PROFILED_REQUESTS = 300, 3_000, 300
# A granter is elected and grants all keys within the first time.
START_S, REST_S = 6.0, 20.0


@dataclass(frozen=True)
class Figures:
    """Figures of one run; processor times are those of the whole process, stand-ins included."""

    # Time from an interpreter with the standard modules above to an imported program.
    import_ms: float
    import_cpu_ms: float
    # Processor time of a daemon without requests in a second.
    rest_ms_per_s: float
    requests_per_s: float
    ms_per_request: float
    # Calls of Python and C functions; the same in each run of the same code.
    calls_per_request: float
    # Memory blocks that remain allocated after the requests; Python does not count those freed.
    blocks_kept_per_request: float


class _Site:
    """Three daemons, a service with keys and one without, and clients on kept connections."""

    def __init__(self, hosts: VirtualHosts) -> None:
        from fuchsiawell.standins import MemoryStore, VirtualClock

        self.hosts = hosts
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock)
        self.random = Random(SEED)
        self.applications: list[Application] = []
        self.servers: list[Any] = []
        self.sent = 0

    async def start(self) -> None:
        """Start servers and daemons, and wait until keys are granted."""
        from standins.backend_server import BackendServer

        self.store.put("op/config", _configuration())
        for service in ("plain", "keyed"):
            for number in range(SERVERS_PER_SERVICE):
                name = f"{service}-{number}"
                server = BackendServer(
                    name,
                    service,
                    self.clock,
                    sharded=service == "keyed",
                    slots=8,
                    service_time_s=SERVICE_TIME_S,
                    host=name,
                    body_bytes=RESPONSE_BYTES,
                )
                server.port = 80
                self.servers.append(server)
                self.hosts.network.listen(name, server.accept)
                self.store.put(f"servers/{name}", server.entry())
        for number in range(DAEMONS):
            await self.hosts.start(f"d-{number}", self._start_daemon(f"d-{number}"))
        await asyncio.sleep(START_S)

    async def run(self, requests: int) -> None:
        """Send requests, each client one after the other."""
        left = [requests // (DAEMONS * CLIENTS_PER_DAEMON)] * DAEMONS * CLIENTS_PER_DAEMON
        await asyncio.gather(
            *(self._client(f"d-{n % DAEMONS}", count) for n, count in enumerate(left))
        )

    def forget_executed(self) -> None:
        """Drop the requests that the servers have kept."""
        for server in self.servers:
            server.executed.clear()

    def stop(self) -> None:
        """Stop the daemons at once."""
        for application in self.applications:
            application.abort()

    async def _start_daemon(self, name: str) -> None:
        from fuchsiawell.adapter import PlatformProtocol, PlatformRecordDecoder
        from fuchsiawell.balance import RetryRules
        from fuchsiawell.core import LamportClock, open_event_log
        from fuchsiawell.gateway.application import Application
        from fuchsiawell.gateway.config.settings import Address, Settings
        from fuchsiawell.gateway.ports import SettingsSource
        from fuchsiawell.gateway.session.state import Session

        settings = Settings(
            daemon=name,
            zone="a",
            host=name,
            clients=Address(name, 1),
            readiness=Address(name, 2),
            peers=Address(name, 3),
            metrics=Address(name, 5),
            drain=timedelta(seconds=2),
            stop_grace=timedelta(seconds=6),
            retries=RetryRules(0.2, 60, 10.0),
        )

        class FixedSettings(SettingsSource):
            def read(self) -> Settings:
                return settings

            def changed(self) -> bool:
                return False

        lamport = LamportClock()
        log = open_event_log(name, self.clock, lamport, stream=io.StringIO())
        random = Random(f"{SEED} {name}")
        session = Session(settings, f"start-{name}", self.clock, random, log, lamport)
        application = Application(
            session, self.store, PlatformRecordDecoder(), PlatformProtocol(), FixedSettings()
        )
        await application.start()
        self.applications.append(application)

    async def _client(self, daemon: str, requests: int) -> None:
        from fuchsiawell.httpio import RequestHead, connect

        connection = await connect(daemon, 1, 5.0)
        for _ in range(requests):
            self.sent += 1
            fields = [
                (b"host", b"a.example"),
                (b"request-id", b"q%d" % self.sent),
                (b"deadline-ms", b"3000"),
            ]
            body = UPLOAD if self.sent % 2 else b""
            if self.sent % 4 < 2:
                fields.append((b"shard-key", b"%d" % self.random.randrange(65536)))
            target = b"/keyed/1" if self.sent % 4 < 2 else b"/plain/1"
            exchange = connection.start(
                RequestHead(b"POST" if body else b"GET", target, fields), len(body)
            )
            if body:
                await exchange.send_body_chunk(body)
            await exchange.finish_body()
            head = await exchange.read_response_head(lambda _: True)
            while await exchange.read_body_chunk() is not None:
                pass
            if head.status != 200:
                raise RuntimeError(f"a request of the benchmark got status {head.status}")
        connection.close()


def measure(requests: int = REQUESTS, rest_s: float = REST_S) -> Figures:
    """Measure the sources on the Python path; the imports count only if they are the first."""
    started_s, cpu_s = time.perf_counter(), time.process_time()
    import fuchsiawell.adapter.__main__  # noqa: F401

    import_ms = 1000 * (time.perf_counter() - started_s)
    import_cpu_ms = 1000 * (time.process_time() - cpu_s)
    from fuchsiawell.standins import run_on_virtual_hosts

    figures: dict[str, float] = {}

    async def main(hosts: VirtualHosts) -> None:
        site = _Site(hosts)
        await site.start()
        cpu_s = time.process_time()
        await asyncio.sleep(rest_s)
        figures["rest_ms_per_s"] = 1000 * (time.process_time() - cpu_s) / rest_s / DAEMONS
        await site.run(WARM_UP_REQUESTS)
        site.forget_executed()
        gc.collect()
        sent, blocks = site.sent, sys.getallocatedblocks()
        started_s, cpu_s = time.perf_counter(), time.process_time()
        await site.run(requests)
        took_s, cpu_s = time.perf_counter() - started_s, time.process_time() - cpu_s
        site.forget_executed()
        gc.collect()
        sent = site.sent - sent
        figures["requests_per_s"] = sent / took_s
        figures["ms_per_request"] = 1000 * cpu_s / sent
        figures["blocks_kept_per_request"] = (sys.getallocatedblocks() - blocks) / sent
        figures["calls_per_request"] = await _count_calls(site)
        site.stop()

    run_on_virtual_hosts(main, ONE_WAY_DELAY_S, SEED)
    return Figures(import_ms=import_ms, import_cpu_ms=import_cpu_ms, **figures)


async def _count_calls(site: _Site) -> float:
    """Return the calls of functions per request."""
    calls, sent = 0, site.sent

    def on_event(_frame: Any, event: str, _argument: Any) -> None:
        nonlocal calls
        if event in ("call", "c_call"):
            calls += 1

    sys.setprofile(on_event)
    try:
        await site.run(PROFILED_REQUESTS)
    finally:
        sys.setprofile(None)
    return calls / (site.sent - sent)


def _configuration() -> bytes:
    from fuchsiawell.adapter.export import ROUTE_COLUMNS

    rows = [
        [service, "a.example", f"/{service}/", "safe", "3s", "500ms", 1, None, 2, service]
        for service in ("plain", "keyed")
    ]
    services = [["plain", 130, False], ["keyed", 130, True]]
    document = {
        "version": "00000001",
        "routes": {"columns": ROUTE_COLUMNS, "rows": rows},
        "services": {"columns": ["name", "max_conns", "sharded"], "rows": services},
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 8_000_000,
            "header_timeout": "3s",
            "idle_timeout": "15s",
        },
    }
    return json.dumps(document).encode()


if __name__ == "__main__":
    print(json.dumps(asdict(measure())))
