"""A loopback TCP proxy that can delay or drop data and reset connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress

__all__ = ["Proxy"]

CHUNK_BYTES = 65536


class Proxy:
    """Forward connections to one target; the public attributes switch faults on."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.port = 0
        self.delay_s = 0.0
        # Drop all data in this direction; connections stay open, and new ones hang.
        self.drop_to_target = False
        self.drop_from_target = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on the loopback address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset_connections(self) -> None:
        for writer in list(self._writers):
            _reset(writer)

    def clear_faults(self) -> None:
        """Switch all faults off, and reset the connections that lost data."""
        if self.drop_to_target or self.drop_from_target:
            self.reset_connections()
        self.delay_s, self.drop_to_target, self.drop_from_target = 0.0, False, False

    async def stop(self) -> None:
        """Stop listening, reset all connections and end their tasks."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            _reset(writer)
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        pair = [
            self._forward(reader, target_writer, True),
            self._forward(target_reader, writer, False),
        ]
        tasks = [asyncio.create_task(work) for work in pair]
        self._tasks.update(tasks)
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks.difference_update(tasks)
        for end in (writer, target_writer):
            self._writers.discard(end)
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
                writer.write(data)
                await writer.drain()
            writer.write_eof()
            return
        _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        # With a linger time of 0, closing sends RST instead of FIN.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
