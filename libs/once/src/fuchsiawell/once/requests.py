"""What the ledger must know of a never-repeat request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto, unique
from hashlib import blake2b
from typing import TYPE_CHECKING

from fuchsiawell.once.places import place_of
from fuchsiawell.once.rules import Attempt

if TYPE_CHECKING:
    from fuchsiawell.core import ServiceName, ShardId

__all__ = [
    "ANONYMOUS",
    "CONTENT_BYTES",
    "IDENTITY_BYTES",
    "OnceRequest",
    "OutagePolicy",
    "content_digest",
    "digest_of",
]

IDENTITY_BYTES = 16
CONTENT_BYTES = 8
ANONYMOUS = b""  # caller without credentials
MAX_ID_CHARS = 200  # longer ids are refused, so that a record's size is bounded


@unique
class OutagePolicy(Enum):
    """Say what happens to free-form ids while the store takes no writes."""

    REFUSE = auto()
    GO_ON = auto()  # successor of a lost leader answers unknown for a whole resend window


def digest_of(parts: tuple[bytes, ...], size: int) -> bytes:
    """Return a digest in which the border between parts counts."""
    hasher = blake2b(digest_size=size)
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()


def content_digest(service: str, kind: str, method: str, target: str, body: bytes) -> bytes:
    """Return the digest by which a resend is told from another request under the same id."""
    head = (service.encode(), kind.encode(), method.encode(), target.encode())
    return digest_of((*head, body), CONTENT_BYTES)


@dataclass(frozen=True, slots=True)
class OnceRequest:
    """Describe one never-repeat request as it reached the leader."""

    service: ServiceName
    key: str
    shard: ShardId
    id: str
    content: bytes  # of `content_digest`
    resend_window_s: float  # how long a caller may send the same request again
    caller: bytes = ANONYMOUS  # digest of the caller's credentials
    on_outage: OutagePolicy = OutagePolicy.REFUSE
    attempt: Attempt = Attempt.UNMARKED
    lingers_s: float = 15.0  # how long an earlier copy may be on its way: longest deadline + stall

    def __post_init__(self) -> None:
        """Refuse content that no journal could hold."""
        if len(self.content) != CONTENT_BYTES:
            raise ValueError(f"content of {len(self.content)} bytes is not a digest")

    @property
    def quiet_s(self) -> float:
        """Return for how long a refusal told to the caller must hold for every copy."""
        return 0.0 if self.attempt is Attempt.FIRST else self.lingers_s

    @property
    def identity(self) -> bytes:
        """Return the digest of service, key and id, which name the work.

        The shard takes no part, since a key's shard changes when it is pinned. The caller takes
        no part either, since new credentials must not make a resend run again.
        """
        parts = (self.service.encode(), self.key.encode(), self.id.encode())
        return digest_of(parts, IDENTITY_BYTES)

    @property
    def place(self) -> bytes:
        """Return where the key lies."""
        return place_of(self.key)
