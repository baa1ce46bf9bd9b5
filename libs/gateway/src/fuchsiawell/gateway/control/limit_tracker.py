"""Track the rate limits that backend servers name, and share them with the other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.balance import RateLimit
from fuchsiawell.gateway.control.peer_messages import RateLimitReport

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.ports import ResponseMetadata
    from fuchsiawell.gateway.session.state import Session

__all__ = ["LimitTracker"]

# Least time between two reports of one server to all daemons. A report that is left out reaches
# the issuer of the server with the next request for a permit.
MIN_REPORT_INTERVAL_S = 0.3


class LimitTracker:
    """Record limits that begin, change and end; log each change and report it."""

    def __init__(self, session: Session, peers: PeerMessenger) -> None:
        self._session = session
        self._peers = peers
        self._reported_s: dict[str, float] = {}

    def record_response(
        self, backend_id: str, incarnation_id: str, metadata: ResponseMetadata, sent_s: float
    ) -> None:
        """Record what a response to a request sent at `sent_s` says of the server's limit.

        Only a signed response without a limit ends one: other responses may come from something
        else that answers at the server's address.
        """
        session, limits = self._session, self._session.rate_limits
        if metadata.server_id not in (None, backend_id):
            return
        now_s = session.now_s
        before = limits.rate_per_s(backend_id, incarnation_id)
        if metadata.invalid_rate_limit is not None:
            # The server still names a limit, so an earlier one holds.
            session.request_log.write(
                "server limit unreadable", server=backend_id, value=metadata.invalid_rate_limit[:60]
            )
            return
        rate_per_s = metadata.rate_limit_per_s
        if rate_per_s is not None:
            session.metrics.count("limits_named", backend_id)
            changed = limits.record_named(backend_id, incarnation_id, rate_per_s, sent_s, now_s)
        elif metadata.signed:
            changed = limits.record_ended(backend_id, incarnation_id, sent_s, now_s)
        else:
            changed = False
        if changed:
            self._on_change(backend_id, before, "server")
            if now_s - self._reported_s.get(backend_id, float("-inf")) >= MIN_REPORT_INTERVAL_S:
                self._reported_s[backend_id] = now_s
                self._peers.broadcast(
                    RateLimitReport(backend_id, incarnation_id, rate_per_s, age_ms=0)
                )

    def apply_report(self, sender: str, report: RateLimitReport) -> None:
        """Apply what another daemon knows, unless this one heard the server later."""
        session, limits = self._session, self._session.rate_limits
        known = limits.latest(report.backend_id)
        if known is None and report.rate_per_s is None:
            return
        limit = RateLimit(
            report.incarnation_id, report.rate_per_s, session.now_s - report.age_ms / 1000
        )
        before = None if known is None else known.rate_per_s
        if limits.apply_report(report.backend_id, limit):
            self._on_change(report.backend_id, before, sender)

    def report(self, backend_id: str) -> RateLimitReport | None:
        """Return what this daemon knows of a server's limit, None if it has never named one."""
        known = self._session.rate_limits.latest(backend_id)
        if known is None:
            return None
        age_ms = max(0, round((self._session.now_s - known.named_s) * 1000))
        return RateLimitReport(backend_id, known.incarnation_id, known.rate_per_s, age_ms)

    def _on_change(self, backend_id: str, before: float | None, source: str) -> None:
        session = self._session
        session.permit_waits.forget(backend_id)
        known = session.rate_limits.latest(backend_id)
        assert known is not None
        # Bounded, as a server may name another limit in each response.
        session.request_log.write(
            "server limit",
            server=backend_id,
            incarnation=known.incarnation_id,
            per_s=known.rate_per_s,
            before_per_s=before,
            source=source,
        )
        session.wake_for_free_slots()
