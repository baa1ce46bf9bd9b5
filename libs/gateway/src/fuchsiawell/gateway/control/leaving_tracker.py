"""Track the backend servers that say in their responses that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.gateway.ports import ResponseMetadata
    from fuchsiawell.gateway.session.state import Session

__all__ = ["LeavingTracker"]


class LeavingTracker:
    """Record servers that leave, from responses to requests and to grants."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def record_response(
        self, backend_id: str, incarnation_id: str, metadata: ResponseMetadata
    ) -> None:
        """Record what a response from the address of a server says.

        A server that has taken over the address refuses requests for another one as misdirected,
        so such a response counts only if it names the server that was meant.
        """
        names_other = metadata.server_id not in (None, backend_id)
        unnamed = metadata.misdirected and metadata.server_id is None
        if not metadata.leaving or names_other or unnamed:
            return
        self._session.metrics.count("leaving_named", backend_id)
        self._session.record_leaving(backend_id, incarnation_id, "server")
