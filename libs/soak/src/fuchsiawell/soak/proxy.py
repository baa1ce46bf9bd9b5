"""A loopback TCP proxy that can delay, drop or lose data, and reset or refuse connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import ExitStack, suppress
from enum import Enum, auto
from typing import TYPE_CHECKING

from fuchsiawell.standins import lose_packets

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["CutMode", "Proxy"]

CHUNK_BYTES = 65536
LOOPBACK = "127.0.0.1"


class CutMode(Enum):
    """How a proxy cuts its clients off from the target."""

    # Packets are lost both ways: connects and open connections hang.
    LOSE = auto()
    # Open connections are reset and new ones refused.
    RESET = auto()
    # Open connections live on and new ones are refused.
    REFUSE = auto()


class Proxy:
    """Forward connections to one target; the public attributes switch faults on."""

    def __init__(
        self, target: tuple[str, int], on_open: Callable[[int], None] = lambda port: None
    ) -> None:
        """Create a proxy; `on_open` is called with the source port of each connection to `target`.

        A cut goes on beside the faults of the attributes, which `clear_faults` switches off.
        """
        self.target = target
        self.port = 0
        self.delay_s = 0.0
        # Drop all data in this direction; connections stay open, and new ones hang.
        self.drop_to_target = False
        self.drop_from_target = False
        self._on_open = on_open
        self._reservation = socket.socket()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._client_writers: set[asyncio.StreamWriter] = set()
        self._target_writers: set[asyncio.StreamWriter] = set()
        # Not set while packets to and from clients are lost.
        self._reaches_clients = asyncio.Event()
        self._reaches_clients.set()
        self._losses = ExitStack()

    async def start(self) -> None:
        """Listen on the loopback address."""
        # Keeps the port from other sockets while the proxy refuses connections.
        self._reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reservation.bind((LOOPBACK, 0))
        self.port = self._reservation.getsockname()[1]
        await self._listen()

    def reset_connections(self) -> None:
        for writer in list(self._target_writers):
            _reset(writer)
        if self._reaches_clients.is_set():
            for writer in list(self._client_writers):
                _reset(writer)

    def clear_faults(self) -> None:
        """Switch all faults but a cut off, and reset the connections that lost data."""
        if self.drop_to_target or self.drop_from_target:
            self.reset_connections()
        self.delay_s, self.drop_to_target, self.drop_from_target = 0.0, False, False

    def cut(self, mode: CutMode) -> None:
        """Cut clients off from the target until `end_cut`."""
        if mode is CutMode.LOSE:
            self._reaches_clients.clear()
            for sock in self._client_sockets():
                self._losses.enter_context(lose_packets(sock))
            return
        self._close_listener()
        if mode is CutMode.RESET:
            self.reset_connections()

    async def end_cut(self) -> None:
        """Let packets pass again and accept connections again on the same port."""
        self._losses.close()
        self._reaches_clients.set()
        if self._server is None:
            await self._listen()

    async def stop(self) -> None:
        """Stop listening, reset all connections and end their tasks."""
        self._losses.close()
        self._reaches_clients.set()
        self._close_listener()
        self._reservation.close()
        self.reset_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._accept, LOOPBACK, self.port)

    def _close_listener(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _client_sockets(self) -> list[socket.socket]:
        sockets = [] if self._server is None else list(self._server.sockets)
        sockets += [writer.get_extra_info("socket") for writer in self._client_writers]
        # A connection may have been closed and its tasks not have ended yet.
        return [sock for sock in sockets if sock.fileno() >= 0]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self._reaches_clients.is_set():
            # It was accepted before the listener lost packets, and added after.
            self._losses.enter_context(lose_packets(writer.get_extra_info("socket")))
        self._client_writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            await self._reaches_clients.wait()
            _reset(writer)
            self._client_writers.discard(writer)
            return
        self._on_open(target_writer.get_extra_info("sockname")[1])
        self._target_writers.add(target_writer)
        pair = [
            self._forward(reader, target_writer, True),
            self._forward(target_reader, writer, False),
        ]
        tasks = [asyncio.create_task(work) for work in pair]
        self._tasks.update(tasks)
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks.difference_update(tasks)
        self._client_writers.discard(writer)
        self._target_writers.discard(target_writer)
        for end in (writer, target_writer):
            end.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_target: bool
    ) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.drop_to_target if to_target else self.drop_from_target:
                    continue
                await self._wait_until_passing(to_target)
                writer.write(data)
                await writer.drain()
            await self._wait_until_passing(to_target)
            writer.write_eof()
            return
        await self._wait_until_passing(to_target)
        _reset(writer)

    async def _wait_until_passing(self, to_target: bool) -> None:
        if not to_target:
            await self._reaches_clients.wait()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        # With a linger time of 0, closing sends RST instead of FIN.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
