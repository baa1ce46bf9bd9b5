"""A program that is run with a table connects to the ports that the table names."""

from __future__ import annotations

import asyncio
import sys
from asyncio.selector_events import BaseSelectorEventLoop
from typing import TYPE_CHECKING

import pytest

from fuchsiawell.soak.address_translation import install, translating, write_table

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

# Python code that connects to the port that it is given and prints what it reads.
PROGRAM = """
import asyncio, sys

async def main(port):
    reader, _ = await asyncio.open_connection("127.0.0.1", port)
    print((await reader.read()).decode(), *sys.argv[1:])

asyncio.run(main(int(sys.argv[1])))
"""


@pytest.fixture
async def ports() -> AsyncIterator[list[int]]:
    """Run two servers, each of which sends its number; yield their ports."""
    servers = []
    for number in range(2):

        def serve(
            _: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int = number
        ) -> None:
            writer.write(b"%d" % number)
            writer.close()

        servers.append(await asyncio.start_server(serve, "127.0.0.1", 0))
    yield [server.sockets[0].getsockname()[1] for server in servers]
    for server in servers:
        server.close()


async def read_from(port: int) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    data = await reader.read()
    writer.close()
    return data


async def test_each_connection_uses_the_current_table(
    ports: list[int], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    table_path = tmp_path / "d-1.ports"
    # Restores the event loops after the test.
    monkeypatch.setattr(BaseSelectorEventLoop, "sock_connect", BaseSelectorEventLoop.sock_connect)
    write_table(table_path, {})
    install(table_path)
    assert await read_from(ports[0]) == b"0"
    write_table(table_path, {ports[0]: ports[1]})
    assert await read_from(ports[0]) == b"1"
    assert await read_from(ports[1]) == b"1"


@pytest.mark.parametrize("as_module", [True, False])
async def test_program_runs_with_its_arguments(
    ports: list[int], tmp_path: Path, as_module: bool
) -> None:
    (tmp_path / "reading.py").write_text(PROGRAM)
    table_path = tmp_path / "d-1.ports"
    write_table(table_path, {ports[0]: ports[1]})
    program = ("-m", "reading") if as_module else ("reading.py",)
    command = translating(table_path, (*program, str(ports[0]), "x"))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *command,
        stdout=asyncio.subprocess.PIPE,
        cwd=tmp_path,
        env={"PYTHONPATH": ":".join(sys.path)},
    )
    output, _ = await process.communicate()
    assert output.decode().split() == ["1", str(ports[0]), "x"]


async def test_exit_status_is_that_of_the_program(tmp_path: Path) -> None:
    (tmp_path / "failing.py").write_text("raise SystemExit(7)")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *translating(tmp_path / "d-1.ports", (str(tmp_path / "failing.py"),)),
        env={"PYTHONPATH": ":".join(sys.path)},
    )
    assert await process.wait() == 7
