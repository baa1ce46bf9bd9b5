"""A leader's journal as bytes: one value of the store that holds its intents."""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct, error
from typing import TYPE_CHECKING

from fuchsiawell.core import FuchsiawellError
from fuchsiawell.once.declarations import decode_declarations, encode_declarations
from fuchsiawell.once.places import PLACE_BYTES
from fuchsiawell.once.records import FoundIntent
from fuchsiawell.once.requests import CONTENT_BYTES, IDENTITY_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiawell.core import ShardId

__all__ = [
    "ENTRY_BYTES",
    "JournalFormatError",
    "JournalValue",
    "decode_journal",
    "encode_entry",
    "encode_journal",
]

MAGIC = b"fwj1"
HEADER = Struct(">4s8sQHI")  # magic, writer's nonce, write number, groups, entries
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
    unjournaled_s_by_shard: dict[ShardId, float]
    intents: tuple[FoundIntent, ...]


def encode_entry(intent: FoundIntent) -> bytes:
    """Return one intent as `ENTRY_BYTES` bytes; its window is rounded up to seconds."""
    return ENTRY.pack(
        intent.identity, intent.content, intent.place, _seconds(intent.resend_window_s)
    )


def encode_journal(
    nonce: bytes,
    write_number: int,
    unjournaled_s_by_shard: dict[ShardId, float],
    entries: Iterable[bytes],
) -> bytes:
    """Return the value to be written; `entries` come from `encode_entry`."""
    body = b"".join(entries)
    groups, declarations = encode_declarations(unjournaled_s_by_shard)
    count = len(body) // ENTRY_BYTES
    head = HEADER.pack(MAGIC, nonce, write_number, groups, count)
    return head + declarations + body


def decode_journal(value: bytes, peer: str) -> JournalValue:
    """Return the journal that stood under `peer`, or raise `JournalFormatError`."""
    try:
        magic, nonce, number, groups, count = HEADER.unpack_from(value)
        if magic != MAGIC:
            raise ValueError(f"starts with {magic!r}")
        windows, at = decode_declarations(value, HEADER.size, groups)
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
