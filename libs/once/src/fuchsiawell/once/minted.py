"""Ids issued by a leader, which tell by themselves under which tenure and when they were issued."""

from __future__ import annotations

from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest
from struct import Struct

from fuchsiawell.once.requests import digest_of

__all__ = [
    "PREFIX",
    "CheckedId",
    "Foreign",
    "Forged",
    "FreeForm",
    "Genuine",
    "Mint",
    "Tenure",
    "TenureSet",
    "check_id",
    "issue_id",
]

PREFIX = "fw1."  # an id that starts so was issued by a leader, or pretends to be
MAC_BYTES = 10
MAX_TENURES = 16  # accepted for one scope; ids of older ones end as unknown
LAYOUT = Struct(">8sIII")  # process nonce, tenure, seconds of the issuer's clock, sequence


@dataclass(frozen=True, slots=True)
class Tenure:
    """Hold one unbroken time of leading a scope, under which ids are issued."""

    nonce: bytes  # 8 bytes of the process that issues
    number: int
    secret: bytes
    offset_s: float = 0.0  # this host's monotonic clock minus the issuer's

    @property
    def id(self) -> tuple[bytes, int]:
        """Return what names the tenure in an id."""
        return self.nonce, self.number


class Mint:
    """Start tenures of this process, each with a secret of its own."""

    def __init__(self, nonce: bytes, secret: bytes) -> None:
        """Take 8 random bytes that name the process and a random secret of at least 16."""
        self.nonce = nonce
        self._secret = secret
        self._number = 0
        self._sequence = 0

    def start_tenure(self) -> Tenure:
        """Return a tenure that no id was issued under yet."""
        self._number += 1
        secret = blake2b(self._number.to_bytes(4, "big"), key=self._secret, digest_size=32)
        return Tenure(self.nonce, self._number, secret.digest())

    def next_sequence(self) -> int:
        """Return a number that tells apart ids issued within one second."""
        self._sequence = (self._sequence + 1) & 0xFFFFFFFF
        return self._sequence


class TenureSet:
    """Hold the tenures whose ids a leader can vouch for in one scope."""

    def __init__(self, current: Tenure, earlier: tuple[Tenure, ...] = ()) -> None:
        """Issue under `current`; vouch also for `earlier`, received in a clean hand-over."""
        self.current = current
        kept = (*earlier, current)[-MAX_TENURES:]
        self._by_id = {tenure.id: tenure for tenure in kept}

    def get(self, nonce: bytes, number: int) -> Tenure | None:
        """Return the tenure if ids of it can be vouched for."""
        return self._by_id.get((nonce, number))

    def all(self) -> tuple[Tenure, ...]:
        """Return all tenures, oldest first."""
        return tuple(self._by_id.values())


@dataclass(frozen=True, slots=True)
class FreeForm:
    """The caller chose the id."""


@dataclass(frozen=True, slots=True)
class Genuine:
    """The id was issued for this key under a tenure that this leader vouches for."""

    age_s: float


@dataclass(frozen=True, slots=True)
class Foreign:
    """The id's tenure is not one that this leader can vouch for."""


@dataclass(frozen=True, slots=True)
class Forged:
    """Nobody issued the id for this key, so nothing ever ran under it."""


CheckedId = FreeForm | Genuine | Foreign | Forged


def issue_id(mint: Mint, tenure: Tenure, service: str, key: str, now_s: float) -> str:
    """Return a new id for one later request for `key`; 40 characters after the prefix."""
    head = LAYOUT.pack(tenure.nonce, tenure.number, int(now_s), mint.next_sequence())
    return PREFIX + urlsafe_b64encode(head + _mac(tenure, head, service, key)).decode()


def check_id(id: str, tenures: TenureSet, service: str, key: str, now_s: float) -> CheckedId:
    """Tell what the id proves, for a request for `key` at this host's monotonic `now_s`."""
    if not id.startswith(PREFIX):
        return FreeForm()
    try:
        raw = urlsafe_b64decode(id[len(PREFIX) :].encode())
    except (Base64Error, ValueError):
        return Forged()
    if len(raw) != LAYOUT.size + MAC_BYTES:
        return Forged()
    head, mac = raw[: LAYOUT.size], raw[LAYOUT.size :]
    nonce, number, issued_s, _ = LAYOUT.unpack(head)
    tenure = tenures.get(nonce, number)
    if tenure is None:
        return Foreign()
    if not compare_digest(mac, _mac(tenure, head, service, key)):
        return Forged()
    return Genuine(now_s - tenure.offset_s - issued_s)


def _mac(tenure: Tenure, head: bytes, service: str, key: str) -> bytes:
    message = digest_of((head, service.encode(), key.encode()), 32)
    return blake2b(message, key=tenure.secret, digest_size=MAC_BYTES).digest()
