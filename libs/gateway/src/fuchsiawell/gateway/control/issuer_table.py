"""The permit issuers that this daemon runs for servers, and the timers of their queues."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.balance import PermitDecision, PermitIssuer, PermitTicket

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.gateway.session.state import Session

__all__ = ["ISSUERS_PER_SERVER", "IssuerKey", "IssuerTable"]

# The second issuer of a server is asked by daemons to which the first does not reply.
ISSUERS_PER_SERVER = 2
# Share of the server's rate and burst, by rank. Daemons may disagree about which issuers respond,
# so that both issue at the same time; together they must stay below the 1.5 times of its limit,
# and the few requests more, that a server tolerates.
SHARE_BY_RANK = (1.0, 0.3)
BURST_BY_RANK = (2.0, 1.0)
# After a change of the daemons others may use the issuer before it for about this long, the time
# within which all in touch with the store learn of the change. A new first issuer waits for that.
TAKEOVER_DELAY_S = 2.0
# An issuer that nobody has asked for this long is dropped.
ISSUER_TTL_S = 30.0


@dataclass(frozen=True)
class IssuerKey:
    """What an issuer decides for."""

    backend_id: str
    # Empty if the issuer serves all incarnations of the server.
    incarnation_id: str
    # 0 for the first issuer of the server, 1 for the second.
    rank: int


class IssuerTable:
    """Pass requests to the issuers, and their decisions on when they are due."""

    def __init__(
        self,
        session: Session,
        on_queued: Callable[[IssuerKey, PermitTicket], None],
        on_decision: Callable[[IssuerKey, PermitDecision], None],
        on_created: Callable[[IssuerKey, float], None],
    ) -> None:
        self._session = session
        self._on_queued = on_queued
        self._on_decision = on_decision
        self._on_created = on_created
        self._issuers: dict[IssuerKey, PermitIssuer] = {}
        self._timers: dict[IssuerKey, asyncio.TimerHandle] = {}

    def request(self, key: IssuerKey, rate_per_s: float, ticket: PermitTicket) -> None:
        """Decide on a request now, or queue it."""
        issuer = self._issuer(key, rate_per_s)
        decisions = issuer.request(ticket, self._session.now_s)
        if all(decision.ticket is not ticket for decision in decisions):
            self._on_queued(key, ticket)
        self._finish(key, decisions)

    def close(self) -> None:
        """Stop deciding; queued requests get no reply."""
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()

    def _issuer(self, key: IssuerKey, rate_per_s: float) -> PermitIssuer:
        now_s = self._session.now_s
        issuer = self._issuers.get(key)
        if issuer is None:
            self._issuers = {
                other_key: other
                for other_key, other in self._issuers.items()
                if now_s - other.last_asked_s <= ISSUER_TTL_S
            }
            start_s = now_s
            if key.rank == 0:
                start_s = max(now_s, self._session.peers_changed_s + TAKEOVER_DELAY_S)
            issuer = PermitIssuer(
                rate_per_s, SHARE_BY_RANK[key.rank], BURST_BY_RANK[key.rank], start_s
            )
            self._issuers[key] = issuer
            self._on_created(key, rate_per_s)
        else:
            issuer.set_rate(rate_per_s, now_s)
        return issuer

    def _poll(self, key: IssuerKey) -> None:
        self._timers.pop(key, None)
        issuer = self._issuers.get(key)
        if issuer is not None:
            self._finish(key, issuer.poll(self._session.now_s))

    def _finish(self, key: IssuerKey, decisions: list[PermitDecision]) -> None:
        """Pass the decisions on, and set the timer for the next one."""
        for decision in decisions:
            self._on_decision(key, decision)
        timer = self._timers.pop(key, None)
        if timer is not None:
            timer.cancel()
        due_s = self._issuers[key].next_due_s()
        if due_s is not None:
            delay_s = max(0.0, due_s - self._session.now_s)
            loop = asyncio.get_running_loop()
            self._timers[key] = loop.call_later(delay_s, self._poll, key)
