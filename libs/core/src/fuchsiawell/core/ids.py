"""Identifier types, kept distinct so that a type checker rejects mix-ups."""

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
    "IdGenerator",
    "RandomIdGenerator",
    "RequestId",
    "SeededIdGenerator",
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
    """One shard: a fixed subset of the keys of one service."""

    service: ServiceName
    index: int

    def __str__(self) -> str:
        """Return `service/index`."""
        return f"{self.service}/{self.index}"


def shard_of(service: ServiceName, key: str, shard_count: int) -> ShardId:
    """Return the shard that contains `key`; stable across processes and releases."""
    digest = blake2b(key.encode(), digest_size=8).digest()
    return ShardId(service, int.from_bytes(digest, "big") % shard_count)


class IdGenerator(ABC):
    """Generate unique identifiers."""

    @abstractmethod
    def new_id(self) -> str:
        """Return a new identifier of 24 hexadecimal digits."""


class RandomIdGenerator(IdGenerator):
    """Generate identifiers from the operating system's random source."""

    def new_id(self) -> str:
        return secrets.token_hex(ID_BYTES)


class SeededIdGenerator(IdGenerator):
    """Generate a reproducible sequence of identifiers from a seed; for tests."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)

    def new_id(self) -> str:
        return self._random.randbytes(ID_BYTES).hex()
