"""Log and count how the requests of clients end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.client_request import ClientRequest
from fuchsiawell.gateway.execute.outcome import Response

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.refusal import Refusal
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.httpio import RequestHead, ServerConnection

__all__ = ["RequestRecords"]

MAX_LOGGED_PATH_BYTES = 200
# Statuses that tell a client not to try again: its request is wrong by the configuration in force.
WRONG_REQUEST_STATUSES = frozenset((400, 404, 413, 431))


class RequestRecords:
    """Log lines and metrics on responses, failures, and connections that end without a response."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def result(
        self, request: ClientRequest | Refusal, result: Response | Refusal, took_s: float
    ) -> None:
        """Log a refusal, and count and time any response that was sent."""
        session = self._session
        session.metrics.observe("request_time", took_s)
        if isinstance(result, Response):
            session.metrics.count("answers", str(result.head.status))
            return
        session.metrics.count("refusals", str(result.status))
        request_id = request.request_id if isinstance(request, ClientRequest) else None
        session.request_log.write(
            "request refused",
            request=request_id or result.request_id,
            route=request.route.name if isinstance(request, ClientRequest) else None,
            status=result.status,
            why=result.reason,
            took_ms=round(took_s * 1000),
            come_back_ms=(
                None
                if result.retry_after is None
                else round(result.retry_after.total_seconds() * 1000)
            ),
            **self._wrong_request(result.status),
        )

    def malformed(self, status: int, why: str) -> None:
        """Log a request whose head cannot be used."""
        session = self._session
        session.metrics.count("refusals", "malformed")
        session.request_log.write(
            "request refused", why=why, status=status, step="head", **self._wrong_request(status)
        )

    def _wrong_request(self, status: int) -> dict[str, int]:
        """Count a request that is refused as wrong; return the inputs of that decision, to log."""
        if status not in WRONG_REQUEST_STATUSES:
            return {}
        session = self._session
        version = 0 if session.configuration is None else session.configuration.version
        session.metrics.count("wrong_requests", f"{status} by version {version}")
        return {"configuration": version, "store_age_ms": round(session.store_age_s * 1000)}

    def internal_error(
        self,
        connection: ServerConnection,
        request: ClientRequest | Refusal | None,
        step: str,
        error: BaseException,
    ) -> None:
        """Log a fault of the daemon."""
        known = request if isinstance(request, ClientRequest) else None
        self._session.metrics.count("internal_errors", step)
        self._session.log.warning(
            "internal error",
            request=known.request_id if known else None,
            path=None if known or connection.head is None else _path(connection.head),
            step=step,
            peer=connection.channel.peer,
            error=repr(error),
        )

    def unanswered(
        self,
        connection: ServerConnection,
        request: ClientRequest | Refusal,
        step: str,
        error: BaseException,
        started_s: float,
    ) -> None:
        """Log a request whose connection ends before its response is complete."""
        channel, session = connection.channel, self._session
        known = request if isinstance(request, ClientRequest) else None
        left = channel.at_eof
        session.metrics.count("unanswered", channel.end_reason if left else f"failed to {step}")
        session.request_log.write(
            "client left" if left else "request unanswered",
            request=known.request_id if known else None,
            route=known.route.name if known else None,
            path=None if known or connection.head is None else _path(connection.head),
            tries=known.attempts if known else 0,
            took_ms=round((session.now_s - started_s) * 1000),
            left_ms=round((known.deadline_s - session.now_s) * 1000) if known else None,
            step=step,
            peer=channel.peer,
            how=channel.end_reason if left else repr(error),
            body_read=connection.body_complete,
        )

    def unread(self, connection: ServerConnection, why: str) -> None:
        """Log the close of a connection on which part of a request has arrived."""
        channel = connection.channel
        if channel.at_eof or not connection.next_request_started:
            return
        self._session.metrics.count("closed_unread", why)
        self._session.request_log.write(
            "connection closed with unread data",
            peer=channel.peer,
            why=why,
            unread_bytes=channel.unread_bytes,
        )


def _path(head: RequestHead) -> str:
    """Return the path without its query, shortened for logs."""
    return head.target.split(b"?", 1)[0][:MAX_LOGGED_PATH_BYTES].decode("latin-1")
