"""Identifiers as distinct types, so that one kind cannot pass for another."""

from __future__ import annotations

import secrets
from abc import ABC, abstractmethod
from dataclasses import dataclass
from hashlib import blake2b
from random import Random
from typing import NewType

__all__ = [
    "CellName",
    "DaemonId",
    "IdSource",
    "RandomIds",
    "RequestId",
    "SeededIds",
    "ServerId",
    "ServiceName",
    "ShardId",
    "shard_of",
]

CellName = NewType("CellName", str)
DaemonId = NewType("DaemonId", str)
ServerId = NewType("ServerId", str)
ServiceName = NewType("ServiceName", str)
RequestId = NewType("RequestId", str)

ID_BYTES = 12


@dataclass(frozen=True, slots=True, order=True)
class ShardId:
    """Name one shard: a fixed slice of the keys of one service."""

    service: ServiceName
    index: int

    def __str__(self) -> str:
        """Return `service/index`."""
        return f"{self.service}/{self.index}"


def shard_of(service: ServiceName, key: str, shard_count: int) -> ShardId:
    """Return the shard that holds `key`; stable across processes and releases."""
    digest = blake2b(key.encode(), digest_size=8).digest()
    return ShardId(service, int.from_bytes(digest, "big") % shard_count)


class IdSource(ABC):
    """Make identifiers that do not repeat."""

    @abstractmethod
    def new(self) -> str:
        """Return a fresh identifier of 24 hexadecimal digits."""


class RandomIds(IdSource):
    """Draw identifiers from the operating system's randomness."""

    def new(self) -> str:
        """Return a fresh random identifier."""
        return secrets.token_hex(ID_BYTES)


class SeededIds(IdSource):
    """Draw identifiers from a seed; for tests and experiments."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)

    def new(self) -> str:
        """Return the next identifier of this seed."""
        return self._random.randbytes(ID_BYTES).hex()
