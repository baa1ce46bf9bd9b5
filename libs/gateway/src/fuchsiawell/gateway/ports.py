"""Interfaces that the daemon needs from a platform; an adapter implements each of them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from datetime import timedelta

    from fuchsiawell.balance import ServerLoad
    from fuchsiawell.gateway.config.settings import Settings
    from fuchsiawell.httpio import Fields, RequestHead, ResponseHead
    from fuchsiawell.routing import Backend, Configuration

__all__ = [
    "BackendProtocol",
    "ConflictError",
    "HistoryLostError",
    "Item",
    "KeyGrant",
    "LeaseLostError",
    "RecordDecoder",
    "RequestMetadata",
    "ResponseMetadata",
    "SettingsSource",
    "Store",
    "StoreChanges",
    "StoreUnavailableError",
    "Write",
]


class StoreUnavailableError(Exception):
    """A call to the store failed; `maybe_applied` if the store may have applied it all the same.

    `refused` if that is the store's response: it takes no calls of this daemon now.
    """

    def __init__(
        self, step: str, peer: str, reason: str, maybe_applied: bool, refused: bool = False
    ) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.maybe_applied = maybe_applied
        self.refused = refused


class ConflictError(Exception):
    """A key of a conditional write has another revision than expected; nothing was written."""


class HistoryLostError(Exception):
    """The store has discarded the requested changes; list all keys again, then watch."""


class LeaseLostError(Exception):
    """The lease has expired or was revoked."""


@dataclass(frozen=True)
class Item:
    """A key of the store; `value` is None in an event that reports its removal."""

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


@dataclass(frozen=True)
class StoreChanges:
    """Changes up to and including the revision `as_of`."""

    items: Sequence[Item]
    as_of: int


@dataclass(frozen=True)
class Write:
    """A key to write under a lease (0: none) if it has the expected revision (0: key is absent).

    `guards` are other keys and the revisions that they must have.
    """

    key: str
    value: bytes
    lease: int = 0
    expected_revision: int | None = None
    guards: tuple[tuple[str, int], ...] = ()


class Store(ABC):
    """The platform's key-value store. Every call raises StoreUnavailableError on failure.

    `era` is a number that the store raises when it comes back from an older copy of itself, as this
    daemon knows it from the last response; None until the store has named one. Revisions and leases
    of an earlier era mean nothing in a later one.
    """

    era: int | None = None
    # Called with the earlier and the new era when a response names a higher one.
    on_new_era: Callable[[int, int], None] | None = None

    def observe_era(self, step: str, peer: str, era: int | None) -> None:
        """Record the era that a response names; raises StoreUnavailableError for an old response.

        The same for a response that names none, once another one has.
        """
        known = self.era
        if known is None:
            self.era = era
        elif era is None:
            raise StoreUnavailableError(step, peer, "response names no era", maybe_applied=True)
        elif era < known:
            reason = f"response of era {era}, which era {known} has followed"
            raise StoreUnavailableError(step, peer, reason, maybe_applied=True)
        elif era > known:
            self.era = era
            if self.on_new_era is not None:
                self.on_new_era(known, era)

    @abstractmethod
    async def get(self, key: str) -> Item | None:
        """Return None when the key is absent."""

    @abstractmethod
    async def list(self, prefix: str) -> StoreChanges:
        """Return all items under a prefix and the revision after which a watch misses nothing."""

    @abstractmethod
    async def watch(self, prefix: str, after: int, wait: timedelta) -> StoreChanges:
        """Return the next changes after a revision, none after `wait`; raises HistoryLostError.

        Without a response it fails soon after `wait`, in less than 1 s.
        """

    @abstractmethod
    async def write(self, writes: Sequence[Write], remove: Sequence[str] = ()) -> int:
        """Write all or nothing and return the revision; raises ConflictError or LeaseLostError."""

    @abstractmethod
    async def open_lease(self, ttl: timedelta) -> int:
        """Return the id of a new lease."""

    @abstractmethod
    async def renew_lease(self, lease_id: int) -> None:
        """Restart the ttl of a lease when the call arrives; raises LeaseLostError."""

    @abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease; the store removes its keys."""


class SettingsSource(ABC):
    """Source of this daemon's settings."""

    @abstractmethod
    def read(self) -> Settings:
        """Return the current settings; raises ValueError or OSError."""

    @abstractmethod
    def changed(self) -> bool:
        """Return whether the settings may have changed since the last read."""


class RecordDecoder(ABC):
    """Decode the records that the platform and its operator keep in the store."""

    configuration_key: str
    backends_prefix: str
    # A key with this prefix and the name of a zone says that the zone is evacuated.
    evacuations_prefix: str

    @abstractmethod
    def decode_configuration(self, value: bytes) -> Configuration:
        """Decode the operator's configuration; raises ValueError."""

    @abstractmethod
    def decode_backend(self, key: str, value: bytes) -> Backend | None:
        """Decode a server's entry; None when the entry describes no usable server."""


@dataclass(frozen=True)
class RequestMetadata:
    """Contents of the platform's header fields of a client's request."""

    request_id: str | None
    # How long the client waits, from the arrival of the request; None when the field is missing.
    timeout: timedelta | None
    key: int | None


@dataclass(frozen=True)
class ResponseMetadata:
    """Contents of the platform's header fields of a server's response."""

    # Id of the request that the response belongs to; None when the field is missing.
    request_id: str | None
    # Whether the server signed the response, which confirms its status and body.
    signed: bool
    # Whether the server reports that it did not execute the request.
    not_executed: bool
    # Whether the address belongs to another server, or the keys to another owner.
    misdirected: bool
    # Id of the responding server; None when the field is missing.
    server_id: str | None = None
    # Requests per second that the server takes from all daemons together; None: it names no limit.
    rate_limit_per_s: float | None = None
    # A limit that cannot be read; None when there is none.
    invalid_rate_limit: str | None = None
    # For how long the server wants nothing more from this daemon; None: it names no rest.
    rest: timedelta | None = None
    # A rest that cannot be read; None when there is none.
    invalid_rest: str | None = None
    # Whether the server says that it leaves.
    leaving: bool = False
    # For how long the server is still cold; None: it does not say.
    cold: timedelta | None = None
    # What the server says of its load; None if it says nothing or nothing usable.
    load: ServerLoad | None = None
    # A load that cannot be used; None when there is none.
    invalid_load: str | None = None


@dataclass(frozen=True)
class KeyGrant:
    """Key range granted to a server; `handover` is the token that its last owner returned."""

    first: int
    last: int
    fence: int
    ttl: timedelta
    handover: str | None = field(default=None)


class BackendProtocol(ABC):
    """Format of requests, responses and grants between daemons, clients and backend servers."""

    @abstractmethod
    def parse_request(self, head: RequestHead) -> RequestMetadata:
        """Read the header fields of a client's request."""

    @abstractmethod
    def forwarded_fields(self, fields: Fields, remaining: timedelta, backend_id: str) -> Fields:
        """Return the fields for the server `backend_id`; `remaining` is the time it has left."""

    @abstractmethod
    def relayed_fields(self, fields: Fields, remaining: timedelta) -> Fields:
        """Return the fields for another daemon; `remaining` is the time that the request has."""

    @abstractmethod
    def parse_response(self, head: ResponseHead) -> ResponseMetadata:
        """Read the header fields of a server's response."""

    @abstractmethod
    def refusal_fields(self, request_id: str | None, retry_after: timedelta | None) -> Fields:
        """Return the fields of a response that the daemon itself generates."""

    @abstractmethod
    def grant(
        self, grant: KeyGrant, backend_id: str, peer: str, call_id: str
    ) -> tuple[RequestHead, bytes]:
        """Return the call that grants keys to a server, or renews the grant.

        The response may name `call_id` as a response to a request names the request's id.
        """

    @abstractmethod
    def release(
        self, first: int, last: int, fence: int, backend_id: str, peer: str
    ) -> tuple[RequestHead, bytes]:
        """Return the call that revokes keys; the response arrives once work on them has ended."""

    @abstractmethod
    def handover(self, head: ResponseHead) -> str | None:
        """Return the handover token for the next owner from the response to a release, or None."""
