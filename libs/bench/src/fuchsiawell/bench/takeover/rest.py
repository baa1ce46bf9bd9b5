"""What control costs a daemon at rest, over real sockets, against the size of its cell."""

from __future__ import annotations

import asyncio
import io
import threading
import time
from contextlib import AsyncExitStack
from random import Random
from typing import TYPE_CHECKING, Any

from result import Ok

from fuchsiawell.bench.measurement import Measurement
from fuchsiawell.config import Address, Settings, configuration_key, encode_configuration
from fuchsiawell.config.configuration import Configuration, Goal, Kind, Service
from fuchsiawell.core import (
    CellName,
    DaemonId,
    LamportClock,
    SeededIds,
    ServiceName,
    SystemClock,
    open_event_log,
)
from fuchsiawell.daemon.cell_state import CellState
from fuchsiawell.daemon.context import Context
from fuchsiawell.daemon.control import Control
from fuchsiawell.platform import ABSENT, ENTRY_ROLE, Host, HostList, HostState
from fuchsiawell.standins.backend import Backend, BackendSettings
from fuchsiawell.standins.memory_store import MemoryStore
from fuchsiawell.standins.process import free_port
from fuchsiawell.standins.serving import running
from fuchsiawell.transport import Link, LinkHooks, PeerListener, Peers

if TYPE_CHECKING:
    from collections.abc import Iterator

    from result import Result

    from fuchsiawell.core import Clock
    from fuchsiawell.platform import StoreError

__all__ = ["measure_rest"]

SIZES = (3, 6, 12)  # daemons of the cell
SERVERS_BY_SIZE = {3: 11, 6: 22, 12: 44}  # Viti-west has 44 servers and 12 daemons
SHARD_COUNT = 256
WARM_UP_S = 6.0
MEASURED_S = 5.0
CPU_TARGET_PERCENT = 1.3
BYTES_TARGET_PER_S = 10_000
CELL, SERVICE = CellName("rest"), ServiceName("penwatch")


class _Hosts(HostList):
    def __init__(self, listed: list[Host]) -> None:
        self._listed = listed

    async def hosts(self) -> Result[list[Host], StoreError]:
        return Ok(self._listed)

    async def close(self) -> None:
        pass


class _Daemon(LinkHooks):
    """The control plane of one daemon with its links, and no request path."""

    def __init__(self, host: Host, store: MemoryStore, hosts: HostList, clock: Clock) -> None:
        self._address = host.address
        lamport = LamportClock()
        address = Address("127.0.0.1", 1)
        id = DaemonId(host.id)
        settings = Settings(id, CELL, "here", host.zone, address, address, address, "", "")
        log = open_event_log(host.id, clock, lamport, stream=io.StringIO())
        context = Context(settings, clock, lamport, log, SeededIds(1), Random(host.id))
        self.peers = Peers(id, clock, lamport, self)
        self.listener = PeerListener(id, clock, lamport, self)
        self.control = Control(context, CellState(), self.peers, store, hosts)

    async def start(self) -> None:
        host, _, port = self._address.rpartition(":")
        await self.listener.start(host, int(port))
        self.peers.start()
        self.control.start()

    async def stop(self) -> None:
        await self.control.stop()
        await self.peers.close()
        await self.listener.close()

    def on_control(self, sender: DaemonId, kind: str, body: Any) -> None:
        self.control.on_control(sender, kind, body)


class _Servers:
    """Backend servers on a loop and thread of their own, whose processor time is not counted."""

    def __init__(self, count: int) -> None:
        self._count = count
        self.hosts: list[Host] = []
        self._started = threading.Event()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._serve()), daemon=True)

    def start(self) -> None:
        self._thread.start()
        self._started.wait()

    def stop(self) -> None:
        self._stop.set()
        self._thread.join()

    async def _serve(self) -> None:
        async with AsyncExitStack() as stack:
            for n in range(self._count):
                id = f"s{n:02}"
                backend = Backend(BackendSettings(id=id), SystemClock())
                where = await stack.enter_async_context(running(backend.app))
                self.hosts.append(Host(id, SERVICE, where, f"z{n % 3}", HostState.LIVE))
            self._started.set()
            while not self._stop.is_set():  # noqa: ASYNC110 - set by another thread
                await asyncio.sleep(0.05)


class _SentBytes:
    """Count what links send, before TCP and IP add theirs."""

    def __init__(self) -> None:
        self.count = 0

    def install(self) -> None:
        """Count for every link from now on."""
        flush = Link._flush

        def counted(link: Link) -> None:
            self.count += len(link._packer.bytes())
            flush(link)

        Link._flush = counted  # type: ignore[method-assign,assignment]


def measure_rest() -> Iterator[Measurement]:
    """Yield processor time and bytes of control a daemon, for each size."""
    sent = _SentBytes()
    sent.install()
    for size in SIZES:
        servers = _Servers(SERVERS_BY_SIZE[size])
        servers.start()
        cpu_percent, bytes_per_s = asyncio.run(_measure(size, servers.hosts, sent))
        servers.stop()
        prefix = f"takeover/rest/daemons={size}"
        cpu_name = f"{prefix}/control_cpu_percent"
        yield Measurement(cpu_name, cpu_percent, "percent", CPU_TARGET_PERCENT, size)
        bytes_name = f"{prefix}/control_bytes_per_s"
        yield Measurement(bytes_name, bytes_per_s, "B/s", BYTES_TARGET_PER_S, size)


async def _measure(size: int, servers: list[Host], sent: _SentBytes) -> tuple[float, float]:
    clock = SystemClock()
    store = MemoryStore(clock)
    await store.put(configuration_key(CELL), _configuration(), ABSENT)
    entries = [
        Host(f"d{n:02}", ENTRY_ROLE, f"127.0.0.1:{free_port()}", f"z{n % 3}", HostState.LIVE)
        for n in range(size)
    ]
    hosts = _Hosts([*entries, *servers])
    daemons = [_Daemon(host, store, hosts, clock) for host in entries]
    for daemon in daemons:
        await daemon.start()
    await asyncio.sleep(WARM_UP_S)
    cpu_s, count, began_s = time.thread_time(), sent.count, clock.monotonic()
    await asyncio.sleep(MEASURED_S)
    elapsed_s = clock.monotonic() - began_s
    cpu_percent = 100 * (time.thread_time() - cpu_s) / elapsed_s / size
    bytes_per_s = (sent.count - count) / elapsed_s / size
    led = sum(len(daemon.control.leader.states()) for daemon in daemons)
    assert led == len(servers), f"{led} of {len(servers)} servers are led"
    for daemon in daemons:
        await daemon.stop()
    return cpu_percent, bytes_per_s


def _configuration() -> bytes:
    service = Service(SERVICE, SHARD_COUNT, 4, True, True, Goal.UNAVAILABLE_TIME)
    service.kinds_by_name["check"] = Kind("check", True, 1.0, 1_000)
    return encode_configuration(
        Configuration(1, CELL, "here", ("z0", "z1", "z2"), {SERVICE: service})
    )
