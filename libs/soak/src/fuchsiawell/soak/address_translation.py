"""Run a program whose connections to some loopback ports go to other ports.

`python -m fuchsiawell.soak.address_translation TABLE PROGRAM...`; the program is `-m MODULE` or a
file, with its arguments. The table is read again for each connection. Ports that are not in it stay
as they are.
"""

from __future__ import annotations

import runpy
import socket
import sys
from asyncio.selector_events import BaseSelectorEventLoop
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["translating", "write_table"]


def translating(table_path: Path, program: tuple[str, ...]) -> tuple[str, ...]:
    """Return the interpreter's arguments that run a program with a table."""
    return ("-m", __name__, str(table_path), *program)


def write_table(table_path: Path, port_by_port: dict[int, int]) -> None:
    """Replace a table, at once for its readers."""
    part_path = table_path.with_suffix(".part")
    part_path.write_bytes(msgspec.json.encode(port_by_port))
    part_path.replace(table_path)


def install(table_path: Path) -> None:
    """Translate the ports of all outgoing TCP connections of event loops in this process."""
    connect = BaseSelectorEventLoop.sock_connect

    def read_table() -> dict[int, int]:
        return msgspec.json.decode(table_path.read_bytes(), type=dict[int, int])

    async def connect_translated(
        self: BaseSelectorEventLoop, sock: socket.socket, address: Any
    ) -> None:
        if sock.type == socket.SOCK_STREAM:
            host, port = address
            address = host, read_table().get(port, port)
        await connect(self, sock, address)

    BaseSelectorEventLoop.sock_connect = connect_translated  # type: ignore[method-assign, assignment]


def main() -> None:
    """Install the table and run the program in this process."""
    install(Path(sys.argv[1]))
    if sys.argv[2] == "-m":
        sys.argv = sys.argv[3:]
        runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
        return
    sys.argv = sys.argv[2:]
    runpy.run_path(sys.argv[0], run_name="__main__")


if __name__ == "__main__":
    main()
