"""Loss of packets on a connection over the loopback interface."""

from __future__ import annotations

import ctypes
import socket
import struct
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["FilteredSocket", "lose_packets"]

# The socket module does not name these options of Linux.
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
# `ret 0`: the kernel drops each packet that arrives, before TCP sees it.
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)


class FilteredSocket(Protocol):
    """What is needed of a socket, or of that of an asyncio transport."""

    def fileno(self) -> int: ...
    def setsockopt(self, level: int, option: int, value: Any, /) -> None: ...


@contextmanager
def lose_packets(sock: FilteredSocket) -> Iterator[None]:
    """Drop all packets that arrive at a connected socket; the peer sees no acknowledgement.

    Raises RuntimeError where the kernel refuses the filter.
    """
    instructions = ctypes.create_string_buffer(DROP_ALL)
    program = struct.pack("HL", 1, ctypes.addressof(instructions))
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        raise RuntimeError(f"this machine refuses SO_ATTACH_FILTER: {error}") from error
    try:
        yield
    finally:
        # A closed socket has no filter any more.
        if sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
