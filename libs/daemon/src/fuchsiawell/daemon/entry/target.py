"""Which service, kind and key a caller's path names."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import unquote

from result import Err, Ok, Result

from fuchsiawell.core import ServiceName

__all__ = ["MAX_KEY_BYTES", "Target", "TargetError", "parse_target"]

MAX_KEY_BYTES = 512  # a longer key is refused; keys are kept in records of pinned keys


@dataclass(frozen=True, slots=True)
class Target:
    """Name what a request is for."""

    service: ServiceName
    kind: str
    key: str


@dataclass(frozen=True, slots=True)
class TargetError:
    """Say what is wrong with a path."""

    detail: str


def parse_target(raw_path: bytes) -> Result[Target, TargetError]:
    """Read `/{service}/{kind}/{key}[/rest]`, each part percent-encoded UTF-8."""
    parts = raw_path.split(b"/", 4)
    if len(parts) < 4 or parts[0] or not all(parts[1:4]):
        return Err(TargetError("the path must be /service/kind/key"))
    try:
        service, kind, key = (unquote(part.decode("ascii"), errors="strict") for part in parts[1:4])
    except UnicodeDecodeError:
        return Err(TargetError("the path must be percent-encoded UTF-8"))
    if len(key.encode()) > MAX_KEY_BYTES:
        return Err(TargetError(f"the key is longer than {MAX_KEY_BYTES} bytes"))
    return Ok(Target(ServiceName(service), kind, key))
