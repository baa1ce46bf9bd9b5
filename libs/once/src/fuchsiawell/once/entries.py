"""A leader's journal as bytes: one value of the store that holds its intents."""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct, error
from typing import TYPE_CHECKING

from fuchsiawell.core import FuchsiawellError, ServiceName
from fuchsiawell.once.places import PLACE_BYTES
from fuchsiawell.once.records import FoundIntent
from fuchsiawell.once.requests import CONTENT_BYTES, IDENTITY_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "ENTRY_BYTES",
    "JournalFormatError",
    "JournalValue",
    "decode_journal",
    "encode_entry",
    "encode_journal",
]

MAGIC = b"fwj1"
HEADER = Struct(">4s8sQHI")  # magic, writer's nonce, write number, declarations, entries
DECLARATION = Struct(">HI")  # bytes of the service's name, seconds
# Identity, content, place, resend window in seconds.
ENTRY = Struct(f">{IDENTITY_BYTES}s{CONTENT_BYTES}s{PLACE_BYTES}sI")
ENTRY_BYTES = ENTRY.size


class JournalFormatError(FuchsiawellError):
    """Report a value that is not a journal of a known format."""


@dataclass(frozen=True, slots=True)
class JournalValue:
    """Hold one decoded journal."""

    nonce: bytes  # of the process that wrote it
    write_number: int
    unjournaled_s_by_service: dict[ServiceName, float]
    intents: tuple[FoundIntent, ...]


def encode_entry(intent: FoundIntent) -> bytes:
    """Return one intent as `ENTRY_BYTES` bytes; its window is rounded up to seconds."""
    return ENTRY.pack(
        intent.identity, intent.content, intent.place, _seconds(intent.resend_window_s)
    )


def encode_journal(
    nonce: bytes,
    write_number: int,
    unjournaled_s_by_service: dict[ServiceName, float],
    entries: Iterable[bytes],
) -> bytes:
    """Return the value to be written; `entries` come from `encode_entry`."""
    body = b"".join(entries)
    declarations = [
        DECLARATION.pack(len(name.encode()), _seconds(window_s)) + name.encode()
        for name, window_s in sorted(unjournaled_s_by_service.items())
    ]
    count = len(body) // ENTRY_BYTES
    head = HEADER.pack(MAGIC, nonce, write_number, len(declarations), count)
    return b"".join((head, *declarations, body))


def decode_journal(value: bytes, peer: str) -> JournalValue:
    """Return the journal that stood under `peer`, or raise `JournalFormatError`."""
    try:
        magic, nonce, number, declarations, count = HEADER.unpack_from(value)
        if magic != MAGIC:
            raise ValueError(f"starts with {magic!r}")
        at, windows = HEADER.size, {}
        for _ in range(declarations):
            length, window_s = DECLARATION.unpack_from(value, at)
            at += DECLARATION.size + length
            windows[ServiceName(value[at - length : at].decode())] = float(window_s)
        if len(value) != at + count * ENTRY_BYTES:
            raise ValueError(f"{len(value)} bytes for {count} entries")
        intents = tuple(
            FoundIntent(identity, content, place, float(window_s))
            for identity, content, place, window_s in ENTRY.iter_unpack(value[at:])
        )
    except (error, ValueError) as reason:
        raise JournalFormatError("decode journal", peer, str(reason)) from reason
    return JournalValue(nonce, number, windows, intents)


def _seconds(window_s: float) -> int:
    return int(-(-window_s // 1))
