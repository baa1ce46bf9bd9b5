"""Start programs of this project as real processes, and stop every one of them in the end."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import closing
from typing import TYPE_CHECKING, Self

from fuchsiawell.core import FuchsiawellError
from fuchsiawell.standins.serving import LOOPBACK

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path
    from types import TracebackType

__all__ = ["ManagedProcess", "ProcessGroup", "StartError", "free_port"]

FIRST_PORT = 20_000  # below the ports that the system gives to outgoing connections
LAST_PORT = 32_000
READY_TIMEOUT_S = 30.0
POLL_S = 0.02
STOP_TIMEOUT_S = 5.0


class StartError(FuchsiawellError):
    """Report a process that ended, or stayed silent, before it was ready."""


class _Ports:
    """Hand out each port once; processes start at different places of the range."""

    def __init__(self) -> None:
        span = LAST_PORT - FIRST_PORT
        self._next = FIRST_PORT + os.getpid() * 97 % span

    def take(self) -> int:
        while True:
            port = self._next
            self._next = FIRST_PORT if port + 1 >= LAST_PORT else port + 1
            with closing(socket.socket()) as probe:
                try:
                    probe.bind((LOOPBACK, port))
                except OSError:
                    continue
                return port


_ports = _Ports()


def free_port() -> int:
    """Return a port of the loopback address that was free just now."""
    return _ports.take()


class ManagedProcess:
    """Hold one started process, the address it is to serve, and its log."""

    def __init__(
        self, name: str, process: subprocess.Popen[bytes], address: str, log_file: Path
    ) -> None:
        self.name = name
        self.address = address
        self.log_file = log_file
        self._process = process

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Return how the process ended, negative for a signal; `None` while it lives."""
        return self._process.poll()

    def kill(self) -> None:
        """End the process at once."""
        self._signal(signal.SIGKILL)
        self._process.wait()

    def pause(self) -> None:
        """Freeze the process."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on as if nothing had happened."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to stop."""
        self._signal(signal.SIGTERM)

    async def wait(self, timeout_s: float) -> int | None:
        """Wait for the end of the process; `None` if it still lives after `timeout_s`."""
        give_up_at_s = time.monotonic() + timeout_s
        while time.monotonic() < give_up_at_s:
            if self.exit_code is not None:
                break
            await asyncio.sleep(POLL_S)
        return self.exit_code

    async def wait_until_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the process takes connections at its address."""
        host, port = self.address.rsplit(":", 1)
        give_up_at_s = time.monotonic() + timeout_s
        while time.monotonic() < give_up_at_s:
            if self.exit_code is not None:
                raise StartError("start", self.name, f"exit {self.exit_code}: {self.log_tail()}")
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(POLL_S)
                continue
            writer.close()
            return
        raise StartError("start", self.name, f"not ready in {timeout_s} s: {self.log_tail()}")

    def log_tail(self, size: int = 2_000) -> str:
        """Return the end of what the process wrote."""
        return self.log_file.read_bytes()[-size:].decode(errors="replace")

    def _signal(self, number: signal.Signals) -> None:
        if self.exit_code is None:
            self._process.send_signal(number)


class ProcessGroup:
    """Start processes in a directory for their logs; leaving the block ends them all."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._started: list[ManagedProcess] = []

    def __enter__(self) -> Self:
        """Start with no process."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End every process that still lives."""
        self.stop_all()

    def start(self, name: str, argv: Sequence[str], port: int) -> ManagedProcess:
        """Start `argv`, which is to serve `port`; its output goes to `{name}.log`."""
        log_file = self._directory / f"{name}.log"
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        with log_file.open("ab") as log:
            process = subprocess.Popen(
                list(argv),
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        managed = ManagedProcess(name, process, f"{LOOPBACK}:{port}", log_file)
        self._started.append(managed)
        return managed

    def start_module(
        self, name: str, module: str, arguments: Sequence[str], port: int
    ) -> ManagedProcess:
        """Start a module of this project with this interpreter."""
        return self.start(name, [sys.executable, "-m", module, *arguments], port)

    def start_standin(
        self, name: str, kind: str, port: int, arguments: Sequence[str] = ()
    ) -> ManagedProcess:
        """Start the stand-in `kind` (`store`, `hosts`, `backend`) at `port`."""
        argv = [kind, "--port", str(port), *arguments]
        return self.start_module(name, "fuchsiawell.standins", argv, port)

    @property
    def living(self) -> list[ManagedProcess]:
        """Return the processes that have not ended."""
        return [managed for managed in self._started if managed.exit_code is None]

    def stop_all(self) -> None:
        """Ask every process to stop, and end those that do not."""
        for managed in self.living:
            managed.resume()
            managed.terminate()
        give_up_at_s = time.monotonic() + STOP_TIMEOUT_S
        while self.living and time.monotonic() < give_up_at_s:
            time.sleep(POLL_S)
        for managed in self.living:
            managed.kill()
