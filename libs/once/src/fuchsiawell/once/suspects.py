"""Which requests may have crashed the servers they ran on, found by letting suspects run alone."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.once.requests import digest_of

if TYPE_CHECKING:
    from fuchsiawell.core import Clock, ServerId

__all__ = ["Flight", "LossReport", "SuspectLimits", "Suspects", "suspect_digest"]

DIGEST_BYTES = 16


def suspect_digest(service: str, key: str, content: bytes) -> bytes:
    """Return what a request is recognised by under any id.

    The key takes part: small requests for other keys may have the same content and be innocent.
    """
    return digest_of((service.encode(), key.encode(), content), DIGEST_BYTES)


@dataclass(frozen=True, slots=True)
class SuspectLimits:
    """Bound what is remembered."""

    max_suspects: int = 2_000  # the oldest are forgotten
    max_convicted: int = 1_000  # the oldest are released
    suspect_s: float = 900.0
    convicted_s: float = 3_600.0
    broken_s: float = 5.0  # for which a request without an answer may still be running
    together_s: float = 1.0  # servers lost within this time share a cause, unless a request does


@dataclass(slots=True, eq=False)
class Flight:
    """Hold one request that a server was given and has not answered."""

    server: ServerId
    digest: bytes
    alone: bool
    broken_s: float | None = None  # when its connection broke


@dataclass(frozen=True, slots=True)
class LossReport:
    """Tell other leaders what was in flight on a lost server, and what that convicted."""

    server: ServerId
    suspects: tuple[bytes, ...]
    convicted: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class _Loss:
    at_s: float
    server: ServerId
    digests: frozenset[bytes]


class Suspects:
    """Attribute losses of servers to requests; synchronous, one a daemon, for all its servers."""

    def __init__(self, clock: Clock, limits: SuspectLimits | None = None) -> None:
        self._clock = clock
        self._limits = limits or SuspectLimits()
        self._suspected_s: dict[bytes, float] = {}  # since when, oldest first
        self._convicted_s: dict[bytes, float] = {}
        self._flights: dict[ServerId, dict[Flight, None]] = {}
        self._broken: deque[Flight] = deque()
        self._losses: deque[_Loss] = deque()

    def is_suspect(self, digest: bytes) -> bool:
        """Tell whether it must run alone."""
        since_s = self._suspected_s.get(digest)
        return since_s is not None and self._age_s(since_s) < self._limits.suspect_s

    def is_convicted(self, digest: bytes) -> bool:
        """Tell whether it is refused as not run."""
        since_s = self._convicted_s.get(digest)
        return since_s is not None and self._age_s(since_s) < self._limits.convicted_s

    @property
    def broken_s(self) -> float:
        """Return for how long a request without an answer may still be running."""
        return self._limits.broken_s

    def in_flight(self, server: ServerId) -> int:
        """Return the number of requests that a server has, or may still be running."""
        self._drop_old()
        broken = sum(flight.server == server for flight in self._broken)
        return len(self._flights.get(server, ())) + broken

    def started(self, server: ServerId, digest: bytes) -> Flight:
        """Note that the request is about to be sent; a suspect only to a server that has none."""
        flight = Flight(server, digest, alone=self.is_suspect(digest))
        self._flights.setdefault(server, {})[flight] = None
        return flight

    def answered(self, flight: Flight) -> None:
        """Note that the server lived on; a suspect that ran alone is innocent."""
        self._remove(flight)
        if flight.alone:
            self._suspected_s.pop(flight.digest, None)

    def refused(self, flight: Flight) -> None:
        """Note that the server did not run it, which proves nothing."""
        self._remove(flight)

    def broke(self, flight: Flight) -> None:
        """Note that the connection broke; the server may turn out to be lost."""
        self._remove(flight)
        flight.broken_s = self._clock.monotonic()
        self._broken.append(flight)
        self._drop_old()

    def server_lost(self, server: ServerId) -> LossReport:
        """Attribute the loss; call it for crashes, never for a server that was stopped."""
        self._drop_old()
        flights = [*self._flights.pop(server, {}), *(f for f in self._broken if f.server == server)]
        self._broken = deque(f for f in self._broken if f.server != server)
        digests = frozenset(flight.digest for flight in flights)
        alone = {flight.digest for flight in flights if flight.alone}
        shared = any(loss.server != server and not alone & loss.digests for loss in self._losses)
        convicted = () if shared or len(digests) != 1 else tuple(alone)
        report = LossReport(server, tuple(sorted(digests)), convicted)
        self.take(report)
        return report

    def take(self, report: LossReport) -> None:
        """Add what this or another leader found."""
        self._drop_old()
        now_s = self._clock.monotonic()
        digests = frozenset(report.suspects)
        self._acquit_shared(report.server, digests)
        self._losses.append(_Loss(now_s, report.server, digests))
        for digest in digests:
            self.suspect(digest)
        for digest in report.convicted:
            self.convict(digest)

    def suspect(self, digest: bytes) -> None:
        """Let it run alone from now on."""
        self._suspected_s.pop(digest, None)
        self._suspected_s[digest] = self._clock.monotonic()
        while len(self._suspected_s) > self._limits.max_suspects:
            del self._suspected_s[next(iter(self._suspected_s))]

    def convict(self, digest: bytes) -> None:
        """Refuse it from now on."""
        self._convicted_s.pop(digest, None)
        self._convicted_s[digest] = self._clock.monotonic()
        while len(self._convicted_s) > self._limits.max_convicted:
            del self._convicted_s[next(iter(self._convicted_s))]

    def release(self, digest: bytes) -> None:
        """Forget a suspicion and a conviction, as an operator asked."""
        self._suspected_s.pop(digest, None)
        self._convicted_s.pop(digest, None)

    def suspects(self) -> frozenset[bytes]:
        """Return what must run alone."""
        return frozenset(digest for digest in self._suspected_s if self.is_suspect(digest))

    def convicted(self) -> frozenset[bytes]:
        """Return what is refused."""
        return frozenset(digest for digest in self._convicted_s if self.is_convicted(digest))

    def _acquit_shared(self, server: ServerId, digests: frozenset[bytes]) -> None:
        """Withdraw convictions of a moment ago if a server was lost without those requests."""
        for loss in self._losses:
            if loss.server == server or loss.digests & digests:
                continue
            for digest in loss.digests:
                since_s = self._convicted_s.get(digest)
                if since_s is not None and since_s >= loss.at_s:
                    del self._convicted_s[digest]

    def _remove(self, flight: Flight) -> None:
        flights = self._flights.get(flight.server)
        if flights is None:
            return
        flights.pop(flight, None)
        if not flights:
            del self._flights[flight.server]

    def _drop_old(self) -> None:
        while self._losses and self._age_s(self._losses[0].at_s) > self._limits.together_s:
            self._losses.popleft()
        while self._broken and self._broken_age_s(self._broken[0]) > self._limits.broken_s:
            self._broken.popleft()

    def _broken_age_s(self, flight: Flight) -> float:
        return 0.0 if flight.broken_s is None else self._age_s(flight.broken_s)

    def _age_s(self, since_s: float) -> float:
        return self._clock.monotonic() - since_s
