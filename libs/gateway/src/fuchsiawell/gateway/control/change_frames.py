"""What a daemon that watches the store passes on to its followers, as frames on a connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgpack

from fuchsiawell.gateway.ports import Item, StoreEvents

if TYPE_CHECKING:
    from fuchsiawell.httpio import Channel

__all__ = ["Alive", "Follow", "Frame", "FrameReader", "Gap", "encode_frame"]

# Largest frame that is read, in bytes: all that a store record may hold, and change with it.
FRAME_LIMIT = 16 * 1024 * 1024
LENGTH_BYTES = 4


@dataclass(frozen=True)
class Follow:
    """A follower asks for all changes after a revision."""

    name: str
    after: int


@dataclass(frozen=True)
class Alive:
    """The watcher is still in touch with the store; there is nothing new."""


@dataclass(frozen=True)
class Gap:
    """The watcher does not know all changes after the revision that was asked for."""


Frame = Follow | Alive | Gap | StoreEvents


def encode_frame(frame: Frame) -> bytes:
    """Return a frame with its length."""
    match frame:
        case Follow(name, after):
            row: list[object] = ["follow", name, after]
        case Alive():
            row = ["alive"]
        case Gap():
            row = ["gap"]
        case StoreEvents(items, as_of):
            row = ["events", [[i.key, i.value, i.revision, i.lease] for i in items], as_of]
    data = bytes(msgpack.packb(row))
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class FrameReader:
    """Read frames from a connection."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel
        self._buffer = bytearray()

    async def next(self) -> Frame | None:
        """Return the next frame, None at the end; raises ConnectionError, ValueError."""
        while True:
            if len(self._buffer) >= LENGTH_BYTES:
                length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
                if length > FRAME_LIMIT:
                    raise ValueError(f"frame of {length} bytes")
                end = LENGTH_BYTES + length
                if len(self._buffer) >= end:
                    data = bytes(self._buffer[LENGTH_BYTES:end])
                    del self._buffer[:end]
                    return _decode(data)
            received = await self._channel.receive()
            if not received:
                return None
            self._buffer += received


def _decode(data: bytes) -> Frame:
    try:
        match msgpack.unpackb(data):
            case ["follow", str(name), int(after)]:
                return Follow(name, after)
            case ["alive"]:
                return Alive()
            case ["gap"]:
                return Gap()
            case ["events", list(rows), int(as_of)]:
                return StoreEvents([Item(*row) for row in rows], as_of)
    except (msgpack.UnpackException, TypeError, ValueError) as error:
        raise ValueError(f"not a frame: {error}") from error
    raise ValueError("not a frame")
