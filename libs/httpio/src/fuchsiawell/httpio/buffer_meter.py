"""What channels need of a budget for the bytes that they buffer for their peers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.httpio.channel import Channel

__all__ = ["MAX_BUFFERED_BYTES", "MIN_METERED_BYTES", "BufferMeter"]

# Reading from the socket pauses when this much received data is unread; a body of the usual size
# fits.
MAX_BUFFERED_BYTES = 256 * 1024
# Less than this, received and unread, is not metered: the head of a request without a body.
MIN_METERED_BYTES = 1024


class BufferMeter(ABC):
    """Counts what channels buffer, and limits them while memory is short."""

    @abstractmethod
    def measure(self, channel: Channel) -> None:
        """Record the bytes that a channel buffers now."""

    @property
    @abstractmethod
    def receive_limit_bytes(self) -> int:
        """Return how much received data a channel may buffer now, MAX_BUFFERED_BYTES at most."""

    @property
    @abstractmethod
    def write_limit_bytes(self) -> int | None:
        """Return how much written data a channel may buffer now, None without a limit."""
