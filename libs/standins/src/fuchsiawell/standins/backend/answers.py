"""Answers of a backend server, whole or cut short on demand."""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import sha256
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from starlette.types import Send

    from fuchsiawell.standins.serving import Link

__all__ = ["Body", "chunks_of", "download_chunk", "echo_body", "send_answer", "send_download"]

CHUNK_BYTES = 65_536
DIGEST_BYTES = 32


@dataclass(frozen=True, slots=True)
class Body:
    """Describe the body of a request that was read whole."""

    size: int
    digest: str  # SHA-256, hexadecimal


def echo_body(fields: dict[str, object], size: int) -> bytes:
    """Return `fields` as JSON, padded by spaces to at least `size` bytes."""
    return json.dumps(fields).encode().ljust(size)


def download_chunk(token: str, start: int, size: int) -> bytes:
    """Return bytes `start` to `start + size` of the download that belongs to `token`."""
    block = sha256(token.encode()).digest()
    repeats = size // DIGEST_BYTES + 2
    offset = start % DIGEST_BYTES
    return (block * repeats)[offset : offset + size]


async def send_answer(
    send: Send, status: int, body: bytes, headers: dict[str, str] | None = None
) -> None:
    """Send a small answer at once."""
    fields = {"content-length": str(len(body)), **(headers or {})}
    await send({"type": "http.response.start", "status": status, "headers": _encoded(fields)})
    await send({"type": "http.response.body", "body": body})


async def send_download(
    send: Send, link: Link, chunks: Iterator[bytes], size: int | None, cut_after: int | None
) -> bool:
    """Stream an answer, with its length where `size` is given; tell whether it was sent whole.

    After `cut_after` bytes the connection is closed.
    """
    fields = {} if size is None else {"content-length": str(size)}
    await send({"type": "http.response.start", "status": 200, "headers": _encoded(fields)})
    left = cut_after
    for chunk in chunks:
        if left is not None and left <= len(chunk):
            await send({"type": "http.response.body", "body": chunk[:left], "more_body": True})
            await link.close()
            return False
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
        left = None if left is None else left - len(chunk)
    await send({"type": "http.response.body", "body": b""})
    return True


def chunks_of(token: str, size: int) -> Iterator[bytes]:
    """Yield the download of `size` bytes that belongs to `token`."""
    for start in range(0, size, CHUNK_BYTES):
        yield download_chunk(token, start, min(CHUNK_BYTES, size - start))


def _encoded(fields: dict[str, str]) -> list[tuple[bytes, bytes]]:
    return [(name.encode(), value.encode()) for name, value in fields.items()]
