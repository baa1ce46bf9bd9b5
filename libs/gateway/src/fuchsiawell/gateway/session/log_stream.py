"""Write log lines to a file descriptor without blocking on its reader."""

from __future__ import annotations

import os

__all__ = ["LogStream"]

# Buffered lines for a slow reader: about a minute of a daemon's usual log volume.
MAX_BUFFERED_BYTES = 256 * 1024


class LogStream:
    """Buffer whole lines and write without blocking; excess lines are dropped and counted."""

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = bytearray()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Buffer a line; returns 0 if it was dropped."""
        data = text.encode()
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return 0
        if self.dropped and data.endswith(b"\n"):
            self._buffer += b'{"event":"log lines dropped","count":%d}\n' % self.dropped
            self.dropped = 0
        self._buffer += data
        return len(text)

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more: discard the lines and keep serving.
                self._buffer.clear()
                return
            del self._buffer[:written]
