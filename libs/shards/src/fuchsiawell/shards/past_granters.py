"""Granters of earlier terms that may still renew grants, as each granter hands them to the next."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil
from typing import TYPE_CHECKING

import msgpack

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    "UNKNOWN_GRANTER",
    "UNKNOWN_OWNERS",
    "PastGranters",
    "decode_past_granters",
    "encode_past_granters",
]

FORMAT_VERSION = 1
# Stands for granters whose names are lost; no report shows that all of them have stopped.
UNKNOWN_GRANTER = ""
# Stands for grants to owners that no map names; a daemon of an earlier release takes it for the
# name of a granter.
UNKNOWN_OWNERS = "?"
MAX_TERM = 2**62
MAX_REMAINING_MS = 10**6
MAX_NAMES = 4096
MAX_NAME_CHARACTERS = 253


@dataclass(frozen=True)
class PastGranters:
    """How much longer each daemon may renew grants, as of the writing of this record at most.

    A record names its writer too, with all of the time for which it may renew without the store.
    """

    # The term in which the record was written.
    term: int
    remaining_s_by_name: Mapping[str, float]


def encode_past_granters(granters: PastGranters) -> bytes:
    """Encode a record for the store."""
    rows = [
        [name, ceil(remaining_s * 1000)]
        for name, remaining_s in granters.remaining_s_by_name.items()
    ]
    return bytes(msgpack.packb([FORMAT_VERSION, granters.term, rows]))


def decode_past_granters(data: bytes) -> PastGranters:
    """Decode a record from the store; raises ValueError."""
    try:
        row = msgpack.unpackb(data)
    except (msgpack.UnpackException, TypeError, ValueError) as error:
        raise ValueError(f"no record of granters: {type(error).__name__}") from error
    match row:
        case [int(version), int(term), list(rows)] if (
            version == FORMAT_VERSION and 0 <= term <= MAX_TERM and len(rows) <= MAX_NAMES
        ):
            return PastGranters(term, dict(_decode_row(entry) for entry in rows))
    raise ValueError("no record of granters: fields are missing, of another type or out of range")


def _decode_row(row: object) -> tuple[str, float]:
    match row:
        case [str(name), int(remaining_ms)] if (
            len(name) <= MAX_NAME_CHARACTERS and 0 <= remaining_ms <= MAX_REMAINING_MS
        ):
            return name, remaining_ms / 1000
    raise ValueError("no record of granters: an entry is malformed")
