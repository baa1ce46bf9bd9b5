"""Which HTTP header fields pass through the router."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiawell.transport import Headers

__all__ = ["OWN_PREFIX", "field", "passed_on"]

OWN_PREFIX = b"fuchsiawell-"  # fields that only this system and the backend servers set

# Source: RFC 9110, section 7.6.1, and the fields that each hop writes itself.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def passed_on(fields: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the end-to-end fields, without this system's own; names must be in lower case."""
    return [
        (name, value)
        for name, value in fields
        if name not in HOP_BY_HOP and not name.startswith(OWN_PREFIX)
    ]


def field(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """Return the value of the first field called `name`, which must be in lower case."""
    for found, value in fields:
        if found == name:
            return value.decode("latin-1")
    return None
