"""Daemon processes of the soak; only processes started here are signalled."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path

from fuchsiawell.adapter.settings_file import SETTINGS_PATH_VARIABLE
from fuchsiawell.standins import adjacent_free_ports, free_ports

from standins.documents import DaemonPorts, settings_document

__all__ = ["PROGRAM", "Daemon"]

READY_TIMEOUT_S = 30.0
# Arguments of the interpreter that start a daemon.
PROGRAM = ("-m", "fuchsiawell.adapter")


class Daemon:
    """One daemon with its settings file and log; its process may be restarted."""

    def __init__(
        self, name: str, store_port: int, folder: Path, program: tuple[str, ...] = PROGRAM
    ) -> None:
        self.name = name
        self._program = program
        clients, readiness, metrics = free_ports(3)
        # The port after that for other daemons' messages takes their requests.
        peers, _ = adjacent_free_ports(2)
        self.ports = DaemonPorts(clients, readiness, peers, metrics)
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.json"
        self._settings_path.write_bytes(settings_document(name, self.ports, store_port))
        self._process: asyncio.subprocess.Process | None = None

    @property
    def client_port(self) -> int:
        return self.ports.clients

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        environment = {**os.environ, SETTINGS_PATH_VARIABLE: str(self._settings_path)}
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._program,
                stdout=log,
                stderr=log,
                env=environment,
            )

    async def wait_ready(self) -> None:
        """Wait until the daemon is ready; raises TimeoutError, or ChildProcessError if it exits."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready():
                if not self.running:
                    raise ChildProcessError(
                        f"{self.name} exited before it was ready, see {self.log_path}"
                    )
                await asyncio.sleep(0.05)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            with suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def wait_exit(self) -> int:
        """Wait until the process exits and return its exit status, 0 if it was never started."""
        return 0 if self._process is None else await self._process.wait()

    def peak_memory_bytes(self) -> int:
        """Return the most memory that the running process has used, 0 if there is none."""
        if self._process is None or self._process.returncode is not None:
            return 0
        lines = Path(f"/proc/{self._process.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM:"))

    async def kill(self) -> None:
        """Kill the process, also if it is suspended, and wait until it exits."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.wait_exit()

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports.readiness)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nhost: a\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line
