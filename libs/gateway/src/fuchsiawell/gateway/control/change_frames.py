"""Frames on the connection over which a hub relays store changes to its followers."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import isfinite
from typing import TYPE_CHECKING

import msgpack

from fuchsiawell.gateway.ports import Item, StoreChanges

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fuchsiawell.httpio import Channel

__all__ = [
    "Confirmation",
    "Follow",
    "FollowInEra",
    "Frame",
    "FrameReader",
    "Gap",
    "KeepAlive",
    "Poll",
    "Recall",
    "Recalled",
    "encode_frame",
]

# Room for the largest store record and the changes that come with it.
MAX_FRAME_BYTES = 16 * 1024 * 1024
LENGTH_PREFIX_BYTES = 4
# Largest revision and lease id, as the store client accepts them.
MAX_NUMBER = 2**63 - 1


@dataclass(frozen=True)
class Follow:
    """A follower requests all changes after revision `after`."""

    name: str
    after: int


@dataclass(frozen=True)
class Poll:
    """A follower requests a confirmation; `sent_s` is its monotonic time."""

    sent_s: float


@dataclass(frozen=True)
class Confirmation:
    """The hub has sent all changes that the store made until `age_s` before a poll arrived.

    `polled_s` is the `sent_s` of that poll, the latest. The poll was sent before it arrived, so the
    follower needs neither the hub's clock nor the time that the frames took. The age is negative
    when the hub's knowledge is newer than the poll. A hub of ee0f758 takes the age when it answers,
    which is more.
    """

    polled_s: float
    age_s: float


@dataclass(frozen=True)
class KeepAlive:
    """The hub still runs; sent to followers of an earlier release, which do not poll."""


@dataclass(frozen=True)
class Gap:
    """The hub does not have all changes after the requested revision."""


@dataclass(frozen=True)
class FollowInEra:
    """As Follow, where the store names its era: `after` is a revision of that era.

    A hub of an earlier release ends the connection.
    """

    name: str
    after: int
    era: int


@dataclass(frozen=True)
class Recall:
    """A daemon asks for what the store may have forgotten.

    It has version `version` of the configuration, 0: none. A daemon of an earlier release ends the
    connection.
    """

    name: str
    version: int


@dataclass(frozen=True)
class Recalled:
    """What a daemon knows that a copy of the store may lack."""

    # Version of the configuration in force, 0: none.
    version: int
    # Record of that configuration, if it is newer than the one of whoever asked.
    configuration: bytes | None = None
    # For how many milliseconds server incarnations leave, and how long ago their entries were
    # removed, by "server id/incarnation number".
    leaving_ms: Mapping[str, int] = field(default_factory=dict)
    removed_ms: Mapping[str, int] = field(default_factory=dict)
    # For how many milliseconds zones are evacuated, by name.
    evacuated_ms: Mapping[str, int] = field(default_factory=dict)


Frame = (
    Follow | FollowInEra | Poll | Confirmation | KeepAlive | Gap | StoreChanges | Recall | Recalled
)


def encode_frame(frame: Frame) -> bytes:
    """Return a frame with its length prefix."""
    match frame:
        case Follow(name, after):
            row: list[object] = ["follow", name, after]
        case FollowInEra(name, after, era):
            row = ["follow in era", name, after, era]
        case Poll(sent_s):
            row = ["poll", sent_s]
        case Confirmation(polled_s, age_s):
            row = ["current", polled_s, age_s]
        case KeepAlive():
            row = ["alive"]
        case Gap():
            row = ["gap"]
        case Recall(name, version):
            row = ["recall", name, version]
        case Recalled(version, configuration, leaving_ms, removed_ms, evacuated_ms):
            ages = [dict(leaving_ms), dict(removed_ms), dict(evacuated_ms)]
            row = ["recalled", version, configuration, *ages]
        case StoreChanges(items, as_of):
            row = ["events", [[i.key, i.value, i.revision, i.lease] for i in items], as_of]
    data = bytes(msgpack.packb(row))
    return len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data


class FrameReader:
    def __init__(self, channel: Channel) -> None:
        self._channel = channel
        self._buffer = bytearray()

    async def next(self) -> Frame | None:
        """Return the next frame, None at end of stream; raises ConnectionError, ValueError."""
        while True:
            if len(self._buffer) >= LENGTH_PREFIX_BYTES:
                length = int.from_bytes(self._buffer[:LENGTH_PREFIX_BYTES], "big")
                if length > MAX_FRAME_BYTES:
                    raise ValueError(f"frame of {length} bytes is too large")
                end = LENGTH_PREFIX_BYTES + length
                if len(self._buffer) >= end:
                    data = bytes(self._buffer[LENGTH_PREFIX_BYTES:end])
                    del self._buffer[:end]
                    return _decode(data)
            received = await self._channel.receive()
            if not received:
                return None
            self._buffer += received


def _decode(data: bytes) -> Frame:
    try:
        match msgpack.unpackb(data):
            case ["follow", str(name), after]:
                return Follow(name, _number(after))
            case ["follow in era", str(name), after, era]:
                return FollowInEra(name, _number(after), _number(era))
            case ["poll", float(sent_s)] if isfinite(sent_s):
                return Poll(sent_s)
            case ["current", float(polled_s), float(age_s)] if isfinite(polled_s - age_s):
                return Confirmation(polled_s, age_s)
            case ["alive"]:
                return KeepAlive()
            case ["gap"]:
                return Gap()
            case ["recall", str(name), version]:
                return Recall(name, _number(version))
            case ["recalled", version, bytes() | None as configuration, *ages] if len(ages) == 3:
                return Recalled(_number(version), configuration, *map(_decode_ages, ages))
            case ["events", list(rows), as_of]:
                return StoreChanges([_decode_item(row) for row in rows], _number(as_of))
    except (msgpack.UnpackException, TypeError, ValueError) as error:
        raise ValueError(f"malformed frame: {error}") from error
    raise ValueError("unknown kind of frame")


def _decode_item(row: object) -> Item:
    match row:
        case [str(key), bytes() | None as value, revision, lease]:
            return Item(key, value, _number(revision), _number(lease))
        case _:
            raise ValueError("store item with fields of another type")


def _decode_ages(row: object) -> dict[str, int]:
    if not isinstance(row, dict) or not all(isinstance(name, str) for name in row):
        raise ValueError("ages that are not by name")
    return {name: _number(age_ms) for name, age_ms in row.items()}


def _number(value: object) -> int:
    if not isinstance(value, int) or not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{value!r} is no number in range")
    return value
