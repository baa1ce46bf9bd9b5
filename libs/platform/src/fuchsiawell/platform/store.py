"""The platform's key-value service as the router sees it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from result import Result

__all__ = [
    "ABSENT",
    "MAX_VALUE_BYTES",
    "AnswerLost",
    "Conflict",
    "LeaseId",
    "LeaseLapsed",
    "Record",
    "Revision",
    "Store",
    "StoreError",
    "Unavailable",
    "WriteError",
]

MAX_VALUE_BYTES = 1_000_000  # larger values are refused by the service

Revision = NewType("Revision", int)
LeaseId = NewType("LeaseId", str)

ABSENT = Revision(0)  # the revision of a key that has no value


@dataclass(frozen=True, slots=True)
class Record:
    """Hold a value and the revision at which it was last written."""

    key: str
    value: bytes
    revision: Revision


@dataclass(frozen=True, slots=True)
class Conflict:
    """Report that the key was not at the expected revision; nothing was written."""

    current: Record | None


@dataclass(frozen=True, slots=True)
class LeaseLapsed:
    """Report that the lease is no longer held; nothing was written."""

    lease: LeaseId


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Report that the call is proved not to have taken effect."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """Report that the call may or may not have taken effect; re-read before deciding."""

    step: str
    peer: str
    detail: str


StoreError = Unavailable | AnswerLost
WriteError = Conflict | LeaseLapsed | Unavailable | AnswerLost


class Store(ABC):
    """Offer compare-and-swap, leases and watches; each call counts against the service's rates."""

    @abstractmethod
    async def get(self, key: str) -> Result[Record | None, StoreError]:
        """Read one key; `None` where it has no value."""

    @abstractmethod
    async def list(self, prefix: str) -> Result[list[Record], StoreError]:
        """Read every key that starts with `prefix`, ordered by key."""

    @abstractmethod
    async def put(
        self, key: str, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Record, WriteError]:
        """Write `value` if the key is still at revision `expected` (`ABSENT`: has no value).

        With a lease, the key is removed when the lease lapses.
        """

    @abstractmethod
    async def delete(self, key: str, expected: Revision) -> Result[None, WriteError]:
        """Remove the key if it is still at revision `expected`."""

    @abstractmethod
    async def watch(
        self, key: str, after: Revision, timeout_s: float
    ) -> Result[Record | None, StoreError]:
        """Wait until the key is newer than `after`, at most `timeout_s`; `None` if it is not."""

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, StoreError]:
        """Start a lease that lapses `ttl_s` seconds after its last renewal."""

    @abstractmethod
    async def renew_lease(self, lease: LeaseId) -> Result[None, WriteError]:
        """Extend the lease by its full time."""

    @abstractmethod
    async def close(self) -> None:
        """Release connections."""
