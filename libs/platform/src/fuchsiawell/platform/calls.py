"""Kinds of calls to the key-value service, and their counts."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum, unique

__all__ = ["READS", "WRITES", "CallCounts", "CallKind"]


@unique
class CallKind(StrEnum):
    """Name a call of the service."""

    GET = "get"
    LIST = "list"
    PUT = "put"
    DELETE = "delete"
    WATCH = "watch"
    GRANT_LEASE = "grant-lease"
    RENEW_LEASE = "renew-lease"


READS = frozenset({CallKind.GET, CallKind.LIST, CallKind.WATCH})
WRITES = frozenset(CallKind) - READS


@dataclass(slots=True)
class CallCounts:
    """Count calls by kind; every attempt that reached the service counts."""

    by_kind: Counter[CallKind] = field(default_factory=Counter)

    def add(self, kind: CallKind) -> None:
        """Count one call."""
        self.by_kind[kind] += 1

    @property
    def reads(self) -> int:
        """Return the calls that count against the rate of reads."""
        return sum(self.by_kind[kind] for kind in READS)

    @property
    def writes(self) -> int:
        """Return the calls that count against the rate of writes."""
        return sum(self.by_kind[kind] for kind in WRITES)
