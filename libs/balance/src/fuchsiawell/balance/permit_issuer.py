"""Issue permits for requests to a rate-limited server, the most urgent request first."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass, field

__all__ = ["MIN_RATE_PER_S", "PermitDecision", "PermitIssuer", "PermitTicket"]

# Only a response can tell that a limit has ended, so that a server that takes no requests gets one
# now and then.
MIN_RATE_PER_S = 0.2
# Requests for permits that one server may cause: 0.6 % of a core at 63 us a request and its reply;
# more if its rate is so high that less would leave permits unused.
MAX_ASKS_PER_S, MAX_ASKS_PER_PERMIT = 100.0, 2.0
# A daemon that asked within this time is expected to ask again.
ASKER_TTL_S = 5.0
# A token, less the rounding errors of its parts.
FULL_TOKEN = 1.0 - 1e-6


@dataclass(frozen=True, order=True)
class PermitTicket:
    """A daemon's request for a permit, ordered by urgency."""

    priority: int
    # The latest time at which the permit is of use.
    latest_s: float
    number: int
    asker: str = field(compare=False)


@dataclass(frozen=True)
class PermitDecision:
    """The final answer to a request; `wait_s` is the time to wait before another, 0 if granted."""

    ticket: PermitTicket
    granted: bool
    wait_s: float = 0.0


class PermitIssuer:
    """Token bucket of one server with a queue; starts empty.

    An issuer does not know what an earlier one has issued just before, so that it must not begin
    with tokens.
    """

    def __init__(self, rate_per_s: float, share: float, burst: float, start_s: float) -> None:
        """Issue permits from `start_s` on, which may lie ahead, at `share` of the rate."""
        self._share = share
        self._burst = burst
        self._tokens = 0.0
        self._refilled_s = start_s
        self._rate_per_s = self._usable_rate(rate_per_s)
        self._queue: list[PermitTicket] = []
        # When each daemon last asked, the latest last.
        self._asked_s: dict[str, float] = {}

    @property
    def last_asked_s(self) -> float:
        """Return when a daemon last asked."""
        return next(reversed(self._asked_s.values()), self._refilled_s)

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Apply a changed limit of the server."""
        self._refill(now_s)
        self._rate_per_s = self._usable_rate(rate_per_s)

    def request(self, ticket: PermitTicket, now_s: float) -> list[PermitDecision]:
        """Queue a request and return the decisions made now.

        A request that would wait for longer than until its latest time is denied at once; so is
        a queued one that it overtakes.
        """
        decisions = self.poll(now_s)
        self._record_asker(ticket.asker, now_s)
        wait_s = self._wait_s(self._rank(ticket), now_s)
        if now_s + wait_s > ticket.latest_s and wait_s > 0.0:
            return [*decisions, self._denial(ticket, wait_s)]
        insort(self._queue, ticket)
        return decisions + self.poll(now_s) + self._deny_late(now_s)

    def poll(self, now_s: float) -> list[PermitDecision]:
        """Return the decisions that are due."""
        self._refill(now_s)
        decisions = []
        while self._queue and self._tokens >= FULL_TOKEN:
            ticket = self._queue.pop(0)
            if ticket.latest_s < now_s:
                decisions.append(self._denial(ticket, self._wait_s(0, now_s)))
                continue
            self._tokens -= 1.0
            decisions.append(PermitDecision(ticket, granted=True))
        return decisions

    def next_due_s(self) -> float | None:
        """Return when `poll` has something to decide, None while nothing is queued."""
        if not self._queue:
            return None
        return self._refilled_s + max(0.0, 1.0 - self._tokens) / self._rate_per_s

    def _refill(self, now_s: float) -> None:
        added = (now_s - self._refilled_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + max(0.0, added))
        self._refilled_s = max(now_s, self._refilled_s)

    def _rank(self, ticket: PermitTicket) -> int:
        return sum(1 for queued in self._queue if queued < ticket)

    def _wait_s(self, rank: int, now_s: float) -> float:
        until_start_s = max(0.0, self._refilled_s - now_s)
        return until_start_s + max(0.0, rank + 1 - self._tokens) / self._rate_per_s

    def _deny_late(self, now_s: float) -> list[PermitDecision]:
        kept: list[PermitTicket] = []
        decisions = []
        for ticket in self._queue:
            wait_s = self._wait_s(len(kept), now_s)
            if now_s + wait_s > ticket.latest_s:
                decisions.append(self._denial(ticket, wait_s))
            else:
                kept.append(ticket)
        self._queue = kept
        return decisions

    def _record_asker(self, asker: str, now_s: float) -> None:
        self._asked_s.pop(asker, None)
        self._asked_s[asker] = now_s
        while now_s - next(iter(self._asked_s.values())) > ASKER_TTL_S:
            del self._asked_s[next(iter(self._asked_s))]

    def _denial(self, ticket: PermitTicket, wait_s: float) -> PermitDecision:
        """Return a denial whose wait also bounds the requests of all askers together."""
        max_asks_per_s = max(MAX_ASKS_PER_S, MAX_ASKS_PER_PERMIT * self._rate_per_s)
        spread_s = len(self._asked_s) / max_asks_per_s
        return PermitDecision(ticket, granted=False, wait_s=max(wait_s, spread_s))

    def _usable_rate(self, rate_per_s: float) -> float:
        return self._share * max(MIN_RATE_PER_S, rate_per_s)
