"""The site of the demo: platform, backend servers and daemons as real processes."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiosonic import HTTPClient

from fuchsiawell.core import FuchsiawellError
from fuchsiawell.platform import ENTRY_ROLE, HostState
from fuchsiawell.standins.backend import read_executions
from fuchsiawell.standins.demo.balancer import Door
from fuchsiawell.standins.process import free_port
from fuchsiawell.standins.serving import LOOPBACK

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from fuchsiawell.standins.backend import Execution
    from fuchsiawell.standins.process import ManagedProcess, ProcessGroup

__all__ = [
    "VITI_WEST",
    "BackendHost",
    "DaemonHost",
    "ServiceShape",
    "Site",
    "SiteError",
    "SiteShape",
]

CELL = "viti-west"
REGION = "viti-west"
HOST_LIST_LAG_S = 2.0
SERVICE_MS = 8.0
ACCEPT_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0
STARTS_AT_ONCE = 8  # processes that start together, so that a small machine keeps up


class SiteError(FuchsiawellError):
    """Report that the site could not be brought up."""


@dataclass(frozen=True, slots=True)
class ServiceShape:
    """Say how many backend servers a service has, and of what kind."""

    name: str
    servers: int
    slots: int = 4
    checks_fence: bool = True


@dataclass(frozen=True, slots=True)
class SiteShape:
    """Say how large the site is."""

    zones: tuple[str, ...]
    daemons: int
    services: tuple[ServiceShape, ...]


VITI_WEST = SiteShape(
    zones=("lautoka", "saweni", "vuda"),
    daemons=11,
    services=(
        ServiceShape("penwatch", 20),
        ServiceShape("dropline", 12),
        ServiceShape("reelhouse", 6),
        ServiceShape("tallyboard", 6, checks_fence=False),
    ),
)


@dataclass(slots=True)
class BackendHost:
    """Hold one backend server."""

    id: str
    zone: str
    shape: ServiceShape
    port: int
    executions_file: Path
    process: ManagedProcess | None = None
    state: HostState = HostState.LIVE


@dataclass(slots=True)
class DaemonHost:
    """Hold one entry host."""

    id: str
    zone: str
    caller_port: int
    peer_port: int
    operator_port: int
    settings_file: Path
    process: ManagedProcess | None = None
    state: HostState = HostState.LIVE

    @property
    def door(self) -> Door:
        """Return the addresses at which callers and operators reach it."""
        return Door(f"{LOOPBACK}:{self.caller_port}", f"{LOOPBACK}:{self.operator_port}")


class Site:
    """Start, disturb and stop the processes of a site; logs go to `directory`."""

    def __init__(
        self, shape: SiteShape, group: ProcessGroup, directory: Path, configuration: Path
    ) -> None:
        self._group = group
        self._directory = directory
        self._configuration = configuration
        self._store_port = free_port()
        self._hosts_port = free_port()
        self.backends = [
            BackendHost(
                f"{service.name}-{number}",
                shape.zones[number % len(shape.zones)],
                service,
                free_port(),
                directory / f"{service.name}-{number}.jsonl",
            )
            for service in shape.services
            for number in range(service.servers)
        ]
        self.daemons = [
            DaemonHost(
                f"daemon-{number}",
                shape.zones[number % len(shape.zones)],
                free_port(),
                free_port(),
                free_port(),
                directory / f"daemon-{number}.json",
            )
            for number in range(shape.daemons)
        ]

    async def start(self) -> None:
        """Start everything, and put the configuration in force."""
        store = self._group.start_standin("store", "store", self._store_port)
        argv = ["--lag-s", str(HOST_LIST_LAG_S)]
        hosts = self._group.start_standin("hosts", "hosts", self._hosts_port, argv)
        await asyncio.gather(store.wait_until_ready(), hosts.wait_until_ready())
        await self.publish_hosts()
        await self._accept()
        turn = asyncio.Semaphore(STARTS_AT_ONCE)
        starts = [self._in_turn(turn, backend) for backend in self.backends]
        await asyncio.gather(*starts, *(self._in_turn(turn, daemon) for daemon in self.daemons))

    async def start_backend(self, backend: BackendHost) -> None:
        """Start a backend server, or start it anew with nothing in memory."""
        argv = ["--id", backend.id, "--slots", str(backend.shape.slots)]
        argv += ["--service-ms", str(SERVICE_MS)]
        argv += ["--executions-file", str(backend.executions_file)]
        argv += [] if backend.shape.checks_fence else ["--no-checks-fence"]
        backend.process = self._group.start_standin(backend.id, "backend", backend.port, argv)
        await backend.process.wait_until_ready()

    async def start_daemon(self, daemon: DaemonHost) -> None:
        """Start a daemon, or its replacement on the same host."""
        daemon.settings_file.write_text(json.dumps(self._settings(daemon)))
        argv = ["serve", str(daemon.settings_file)]
        daemon.process = self._group.start_module(
            daemon.id, "fuchsiawell.cli", argv, daemon.operator_port
        )
        await daemon.process.wait_until_ready()

    async def stop_daemon(self, daemon: DaemonHost) -> int | None:
        """Ask a daemon to stop; return its exit code, `None` if it did not end in time."""
        assert daemon.process is not None
        daemon.process.terminate()
        return await daemon.process.wait(STOP_TIMEOUT_S)

    async def publish_hosts(self) -> None:
        """Tell the platform's list, which shows it to its readers some time later."""
        entries = [
            _entry(daemon.id, ENTRY_ROLE, daemon.peer_port, daemon.zone, daemon.state)
            for daemon in self.daemons
        ]
        servers = [
            _entry(backend.id, backend.shape.name, backend.port, backend.zone, backend.state)
            for backend in self.backends
        ]
        url = f"http://{LOOPBACK}:{self._hosts_port}/_admin/hosts"
        async with HTTPClient() as client:
            await client.put(url, json=[*entries, *servers])

    def executions(self) -> list[Execution]:
        """Return everything that backend servers ran, killed ones included."""
        files = [backend.executions_file for backend in self.backends]
        return [run for file in files if file.exists() for run in read_executions(file)]

    def daemon_logs(self) -> list[Path]:
        """Return the log files of the daemons."""
        return [self._directory / f"{daemon.id}.log" for daemon in self.daemons]

    async def run_command(self, name: str, arguments: Sequence[str], timeout_s: float) -> str:
        """Run a command of the program and return what it printed; raise `SiteError`."""
        command = self._group.start_module(name, "fuchsiawell.cli", arguments, 0)
        status = await command.wait(timeout_s)
        text = command.log_file.read_text(errors="replace")
        if status != 0:
            raise SiteError(name, "fuchsiawell", f"exit {status}: {text[-1000:]}")
        return text

    async def _accept(self) -> None:
        url = f"http://{LOOPBACK}:{self._store_port}"
        argv = ["accept", str(self._configuration), "--store", url]
        await self.run_command("accept", argv, ACCEPT_TIMEOUT_S)

    async def _in_turn(self, turn: asyncio.Semaphore, host: BackendHost | DaemonHost) -> None:
        async with turn:
            match host:
                case BackendHost():
                    await self.start_backend(host)
                case DaemonHost():
                    await self.start_daemon(host)

    def _settings(self, daemon: DaemonHost) -> dict[str, str]:
        return {
            "daemon": daemon.id,
            "cell": CELL,
            "region": REGION,
            "zone": daemon.zone,
            "caller_address": f"{LOOPBACK}:{daemon.caller_port}",
            "peer_address": f"{LOOPBACK}:{daemon.peer_port}",
            "operator_address": f"{LOOPBACK}:{daemon.operator_port}",
            "store_url": f"http://{LOOPBACK}:{self._store_port}",
            "host_list_url": f"http://{LOOPBACK}:{self._hosts_port}",
        }


def _entry(id: str, role: str, port: int, zone: str, state: HostState) -> dict[str, str]:
    address = f"{LOOPBACK}:{port}"
    return {"id": id, "role": role, "address": address, "zone": zone, "state": state.value}
