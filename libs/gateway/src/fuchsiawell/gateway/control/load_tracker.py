"""Track what backend servers say of their load in their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.gateway.ports import ResponseMetadata
    from fuchsiawell.gateway.session.state import Session

__all__ = ["LoadTracker"]

# Longer values are cut in the log.
MAX_LOGGED_CHARACTERS = 60


class LoadTracker:
    """Record the loads that servers name; log values that cannot be used."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def record_response(
        self, backend_id: str, incarnation_id: str, metadata: ResponseMetadata
    ) -> None:
        """Record the load in a response, unless another server answers at the address."""
        session = self._session
        if metadata.server_id not in (None, backend_id) or metadata.misdirected:
            return
        if metadata.invalid_load is not None:
            session.metrics.count("loads_unreadable", backend_id)
            session.request_log.write(
                "server load unreadable",
                server=backend_id,
                value=metadata.invalid_load[:MAX_LOGGED_CHARACTERS],
            )
        if metadata.load is not None:
            session.server_loads.record(incarnation_id, metadata.load, session.now_s)
