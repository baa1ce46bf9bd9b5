"""Track the rests that backend servers ask this daemon for."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.gateway.ports import ResponseMetadata
    from fuchsiawell.gateway.session.state import Session

__all__ = ["RestTracker"]


class RestTracker:
    """Log and count the responses in which servers name a rest."""

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
        session.request_log.write(
            "server rest",
            server=backend_id,
            incarnation=incarnation_id,
            seconds=metadata.rest.total_seconds(),
            until=(session.clock.now() + metadata.rest).isoformat(timespec="milliseconds"),
        )
