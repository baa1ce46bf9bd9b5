"""Track the rate limits that backend servers name in their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.gateway.ports import ResponseMetadata
    from fuchsiawell.gateway.session.state import Session

__all__ = ["LimitTracker"]


class LimitTracker:
    """Record limits that begin, change and end, and log each change."""

    def __init__(self, session: Session) -> None:
        self._session = session

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
            self._log_change(backend_id, incarnation_id, before, rate_per_s, "server")

    def _log_change(
        self,
        backend_id: str,
        incarnation_id: str,
        before: float | None,
        rate_per_s: float | None,
        source: str,
    ) -> None:
        self._session.log.event(
            "server limit",
            server=backend_id,
            incarnation=incarnation_id,
            per_s=rate_per_s,
            before_per_s=before,
            source=source,
        )
