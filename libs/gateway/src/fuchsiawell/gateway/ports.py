"""What the daemon needs from a platform; an adapter translates each to its own names and calls."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from datetime import timedelta

    from fuchsiawell.gateway.config.settings import Settings
    from fuchsiawell.httpio import Fields, RequestHead, ResponseHead
    from fuchsiawell.routing import Backend, Configuration

__all__ = [
    "ResponseMetadata",
    "BackendProtocol",
    "ConflictError",
    "HistoryLostError",
    "Item",
    "KeyGrant",
    "LeaseLostError",
    "RecordDecoder",
    "RequestMetadata",
    "SettingsSource",
    "Store",
    "StoreChanges",
    "StoreUnavailableError",
    "Write",
]


class StoreUnavailableError(Exception):
    """The store did not do a call, or nobody knows whether it did."""

    def __init__(self, step: str, peer: str, reason: str, maybe_applied: bool) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.maybe_applied = maybe_applied


class ConflictError(Exception):
    """A conditional write found other revisions than it expected."""


class HistoryLostError(Exception):
    """The store no longer has the changes asked for; list everything anew."""


class LeaseLostError(Exception):
    """The lease does not exist any more."""


@dataclass(frozen=True)
class Item:
    """A key of the store; `value` is None in an event that tells of its removal."""

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


@dataclass(frozen=True)
class StoreChanges:
    """Changes up to and including a revision."""

    items: Sequence[Item]
    as_of: int


@dataclass(frozen=True)
class Write:
    """A key to write under a lease (0: none), if it still has the expected revision (0: absent)."""

    key: str
    value: bytes
    lease: int = 0
    expected_revision: int | None = None


class Store(ABC):
    """The platform's key-value store. Every call raises StoreUnavailableError on failure."""

    @abstractmethod
    async def get(self, key: str) -> Item | None:
        """Return a key's item, None when it is absent."""

    @abstractmethod
    async def list(self, prefix: str) -> StoreChanges:
        """Return all items under a prefix, and a revision from which a watch misses nothing."""

    @abstractmethod
    async def watch(self, prefix: str, after: int, wait: timedelta) -> StoreChanges:
        """Return the next changes after a revision, none after `wait`; raises HistoryLostError."""

    @abstractmethod
    async def write(self, writes: Sequence[Write], remove: Sequence[str] = ()) -> int:
        """Write all or nothing and return the revision; raises ConflictError or LeaseLostError."""

    @abstractmethod
    async def open_lease(self, ttl: timedelta) -> int:
        """Return a new lease."""

    @abstractmethod
    async def renew_lease(self, lease: int) -> None:
        """Renew a lease from the call's arrival; raises LeaseLostError."""

    @abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""


class SettingsSource(ABC):
    """Where this daemon's settings come from."""

    @abstractmethod
    def read(self) -> Settings:
        """Return the settings as they are now; raises ValueError or OSError."""

    @abstractmethod
    def changed(self) -> bool:
        """Whether they may differ from what was read last."""


class RecordDecoder(ABC):
    """The records that the platform and its operator keep in the store."""

    configuration_key: str
    backends_prefix: str

    @abstractmethod
    def configuration(self, value: bytes) -> Configuration:
        """Return the operator's configuration; raises ValueError."""

    @abstractmethod
    def backend(self, key: str, value: bytes) -> Backend | None:
        """Return the server an entry names, None when the entry names none to use."""


@dataclass(frozen=True)
class RequestMetadata:
    """What the platform's header fields say of a client's request."""

    request_id: str | None
    # How long the client will wait, from the arrival of the request; None when it does not say.
    timeout: timedelta | None
    key: int | None


@dataclass(frozen=True)
class ResponseMetadata:
    """What the platform's header fields say of a server's answer."""

    # The id of the request that the answer belongs to, None when it does not say.
    request_id: str | None
    # Whether the server vouches for status and body.
    signed: bool
    # Whether the server says that it did not run the request.
    not_executed: bool
    # Whether the address belongs to another server, or the keys to another holder.
    misdirected: bool
    # The id of the server that answers, None when it does not say.
    server_id: str | None = None


@dataclass(frozen=True)
class KeyGrant:
    """Keys granted to a server; `handover` is what their last holder left for the next."""

    first: int
    last: int
    fence: int
    ttl: timedelta
    handover: str | None = field(default=None)


class BackendProtocol(ABC):
    """How requests, answers and grants look between daemons, clients and backend servers."""

    @abstractmethod
    def parse_request(self, head: RequestHead) -> RequestMetadata:
        """Read a client's request."""

    @abstractmethod
    def forwarded_fields(self, fields: Fields, remaining: timedelta, backend_id: str) -> Fields:
        """Return the fields for the server `backend_id`, which has `left` to work."""

    @abstractmethod
    def parse_response(self, head: ResponseHead) -> ResponseMetadata:
        """Read a server's answer."""

    @abstractmethod
    def refusal_fields(self, request_id: str | None, retry_after: timedelta | None) -> Fields:
        """Return the fields of an answer of the daemon's own."""

    @abstractmethod
    def grant(self, grant: KeyGrant, backend_id: str, peer: str) -> tuple[RequestHead, bytes]:
        """Return the call that grants keys to a server, or renews them."""

    @abstractmethod
    def release(
        self, first: int, last: int, fence: int, backend_id: str, peer: str
    ) -> tuple[RequestHead, bytes]:
        """Return the call that takes keys back; its answer comes when their work has ended."""

    @abstractmethod
    def handover(self, head: ResponseHead) -> str | None:
        """Return what the last holder left for the next, from the answer to a release."""
