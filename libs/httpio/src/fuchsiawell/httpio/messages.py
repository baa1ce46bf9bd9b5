"""Heads of requests and responses, and which header fields a router forwards."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Fields", "RequestHead", "ResponseHead", "end_to_end_fields", "first_value"]

Fields = list[tuple[bytes, bytes]]

# Every recipient needs them, whatever the field `connection` lists.
_NEVER_HOP_BY_HOP_FIELDS = frozenset({b"host"})
# `expect` and `content-length` are included because each connection handles them itself.
_HOP_BY_HOP_FIELDS = frozenset(
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
    """Head of a request; field names are lower case."""

    method: bytes
    target: bytes
    fields: Fields


@dataclass(frozen=True)
class ResponseHead:
    """Head of a response; field names are lower case.

    `content_length` is None when the body is chunked or ends with the connection; the latter if
    `close_delimited`.
    """

    status: int
    fields: Fields
    content_length: int | None = None
    close_delimited: bool = False


def first_value(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of the field `name`, which is lower case; None when it is absent."""
    return next((value for key, value in fields if key == name), None)


def end_to_end_fields(fields: Fields, drop: frozenset[bytes] = frozenset()) -> Fields:
    """Return the fields to forward: all but hop-by-hop fields and those in `drop`."""
    listed_in_connection = {
        token.strip().lower()
        for key, value in fields
        if key == b"connection"
        for token in value.split(b",")
    } - _NEVER_HOP_BY_HOP_FIELDS
    return [
        (key, value)
        for key, value in fields
        if key not in _HOP_BY_HOP_FIELDS and key not in listed_in_connection and key not in drop
    ]
