"""Daemons as processes of their own; only processes started here are ever signalled."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import socket
import sys
from contextlib import suppress
from typing import TYPE_CHECKING

from fuchsiawell.adapter.settings_file import SETTINGS_PATH_VARIABLE

from standins.documents import DaemonPorts, settings_document

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["PROGRAM", "Daemon", "free_ports"]

READY_S = 30.0
# Ports for daemons; several soaks on one machine begin at different places.
FIRST_PORT, PORTS = 12_000, 20_000
# What a daemon's process runs, after the interpreter.
PROGRAM = ("-m", "fuchsiawell.adapter")


_ports = itertools.chain(
    range(FIRST_PORT + os.getpid() * 400 % PORTS, FIRST_PORT + PORTS),
    range(FIRST_PORT, FIRST_PORT + PORTS),
)


def free_ports(count: int) -> list[int]:
    """Return ports on which nobody listens, none returned before; raises RuntimeError.

    They lie below those that the kernel gives to connections: a daemon that is started again would
    find its port taken by one.
    """
    found: list[int] = []
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError(f"no {count} ports left of {FIRST_PORT} to {FIRST_PORT + PORTS - 1}")


class Daemon:
    """One daemon: its settings, its log, and its process if it runs."""

    def __init__(
        self, name: str, store_port: int, folder: Path, program: tuple[str, ...] = PROGRAM
    ) -> None:
        self.name = name
        self._program = program
        self.ports = DaemonPorts(*free_ports(4))
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.json"
        self._settings.write_bytes(settings_document(name, self.ports, store_port))
        self._process: asyncio.subprocess.Process | None = None

    @property
    def client_port(self) -> int:
        """Where clients reach it."""
        return self.ports.clients

    @property
    def running(self) -> bool:
        """Whether its process runs."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, SETTINGS_PATH_VARIABLE: str(self._settings)}
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._program,
                stdout=log,
                stderr=log,
                env=environment,
            )

    async def wait_ready(self) -> None:
        """Wait until the daemon says that it is ready; raises TimeoutError, ChildProcessError."""
        async with asyncio.timeout(READY_S):
            while not await self._ready():
                if not self.running:
                    raise ChildProcessError(f"{self.name} ended before it was ready: {self.log}")
                await asyncio.sleep(0.05)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to its process, if it still runs."""
        if self._process is not None and self._process.returncode is None:
            with suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def ended(self) -> int:
        """Wait for the end of its process; returns the exit status."""
        return 0 if self._process is None else await self._process.wait()

    async def stop(self) -> None:
        """End its process for good."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.ended()

    async def _ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports.readiness)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nhost: a\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line
