"""Heads of requests and answers, and which header fields pass a router."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Fields", "RequestHead", "ResponseHead", "end_to_end_fields", "first_value"]

Fields = list[tuple[bytes, bytes]]

_ONE_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)


@dataclass(frozen=True)
class RequestHead:
    """The head of a request; header names are lower case."""

    method: bytes
    target: bytes
    fields: Fields


@dataclass(frozen=True)
class ResponseHead:
    """The head of an answer; `content_length` is None when its body is framed otherwise."""

    status: int
    fields: Fields
    content_length: int | None = None
    close_delimited: bool = False


def first_value(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a lower-case header name."""
    return next((value for key, value in fields if key == name), None)


def end_to_end_fields(fields: Fields, drop: frozenset[bytes] = frozenset()) -> Fields:
    """Return the fields that pass a router: none that concerns one connection, none of `drop`."""
    named = {
        token.strip().lower()
        for key, value in fields
        if key == b"connection"
        for token in value.split(b",")
    }
    return [
        (key, value)
        for key, value in fields
        if key not in _ONE_HOP and key not in named and key not in drop
    ]
