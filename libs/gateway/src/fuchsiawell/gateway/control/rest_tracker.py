"""Track the rests that backend servers ask this daemon for."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.gateway.ports import ResponseMetadata
    from fuchsiawell.gateway.session.state import Session

__all__ = ["RestTracker"]


# Part of a rest by which it is prolonged at random, and the most, so that the daemons do not all
# return at the time that a server has named to each of them.
MAX_SPREAD_FRACTION, MAX_SPREAD_S = 0.05, 0.25
# Responses that move the end of a rest by less add nothing: they came close to each other.
MIN_CHANGE_S = 0.1


class RestTracker:
    """Record the rests that servers name in their responses to this daemon, and only to it."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def record_response(
        self, backend_id: str, incarnation_id: str, metadata: ResponseMetadata
    ) -> None:
        """Record what a response says of the rest that the server wants from this daemon."""
        session = self._session
        if metadata.server_id not in (None, backend_id):
            return
        if metadata.invalid_rest is not None:
            session.request_log.write(
                "server rest unreadable", server=backend_id, value=metadata.invalid_rest[:60]
            )
        if metadata.rest is None:
            return
        session.metrics.count("rests_named", backend_id)
        rest_s = metadata.rest.total_seconds()
        spread_s = session.random.uniform(0.0, min(MAX_SPREAD_S, MAX_SPREAD_FRACTION * rest_s))
        extended_s = session.server_rests.record_named(
            backend_id, incarnation_id, rest_s + spread_s, session.now_s
        )
        if extended_s < MIN_CHANGE_S:
            return
        left_s = session.server_rests.remaining_s(incarnation_id, session.now_s)
        session.request_log.write(
            "server rest",
            server=backend_id,
            incarnation=incarnation_id,
            seconds=rest_s,
            until=(session.clock.now() + timedelta(seconds=left_s)).isoformat(
                timespec="milliseconds"
            ),
        )
        # Requests that wait for this server are refused at once, or sent to another.
        backend = session.directory.by_id.get(backend_id)
        if backend is not None:
            session.wake(backend.service)

    def is_resting(self, incarnation_id: str) -> bool:
        """Return whether a server wants nothing from this daemon now."""
        session = self._session
        return session.server_rests.remaining_s(incarnation_id, session.now_s) > 0.0
