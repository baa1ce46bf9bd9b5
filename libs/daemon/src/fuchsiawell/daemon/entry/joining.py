"""A transport that sends the head of an answer together with the start of its body."""

from __future__ import annotations

import asyncio
from typing import Any

__all__ = ["JoiningTransport"]

HEAD_START = b"HTTP/1.1 "


class JoiningTransport:
    """Wrap a transport; a head is held until the next write, at most one turn of the loop."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._held = b""

    def write(self, data: bytes) -> None:
        """Send `data`, after the head that is held if there is one."""
        if not self._held and data.startswith(HEAD_START):
            self._held = data
            self._loop.call_soon(self.flush)
            return
        held, self._held = self._held, b""
        self._transport.write(held + data if held else data)

    def flush(self) -> None:
        """Send the head that is held, if there is one."""
        if self._held:
            held, self._held = self._held, b""
            self._transport.write(held)

    def close(self) -> None:
        """Send what is held, then close."""
        self.flush()
        self._transport.close()

    def __getattr__(self, name: str) -> Any:
        """Leave everything else to the transport."""
        return getattr(self._transport, name)
