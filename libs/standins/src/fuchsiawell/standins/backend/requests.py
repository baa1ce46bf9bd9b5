"""Requests for work as a backend server reads them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

from fuchsiawell.core.headers import Header
from fuchsiawell.standins.backend.grants import Fence

if TYPE_CHECKING:
    from starlette.types import Scope

__all__ = ["POISON", "WorkRequest", "parse_work"]

POISON = "standin-poison"  # a server that meets this text in path, header or body crashes
TOKEN = "standin-token"
SERVICE_MS = "standin-service-ms"
ANSWER_BYTES = "standin-answer-bytes"
CUT_AFTER = "standin-cut-after"
CHUNKED = "standin-chunked"


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """Hold the fields that decide how a request is run and answered."""

    method: str
    path: str
    request: str
    idempotency_key: str | None
    fence: Fence | None
    deadline_s: float | None  # seconds left on arrival
    token: str  # chosen by the caller, echoed in the answer
    service_time_s: float | None
    answer_bytes: int | None
    cut_after: int | None  # bytes of the answer after which the connection is closed
    chunked: bool
    poisoned: bool


def parse_work(scope: Scope) -> WorkRequest:
    """Return the request; `standin-` fields are taken from the query, else from the header."""
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}
    query = scope["query_string"].decode("latin-1")
    asked = {**headers, **dict(parse_qsl(query))}
    request = headers.get(Header.REQUEST_ID, "")
    service_ms = _number(asked.get(SERVICE_MS))
    deadline_ms = _number(headers.get(Header.DEADLINE_MS))
    texts = (scope["path"], query, *headers.values())
    return WorkRequest(
        method=scope["method"],
        path=scope["path"],
        request=request,
        idempotency_key=headers.get(Header.IDEMPOTENCY_KEY),
        fence=_fence(headers),
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        token=asked.get(TOKEN, request),
        service_time_s=None if service_ms is None else service_ms / 1000,
        answer_bytes=_number(asked.get(ANSWER_BYTES)),
        cut_after=_number(asked.get(CUT_AFTER)),
        chunked=CHUNKED in asked,
        poisoned=any(POISON in text for text in texts),
    )


def _fence(headers: dict[str, str]) -> Fence | None:
    term = _number(headers.get(Header.TERM))
    epoch = _number(headers.get(Header.EPOCH))
    shard = headers.get(Header.SHARD)
    if term is None or epoch is None or shard is None:
        return None
    return Fence(shard, term, epoch)


def _number(text: str | None) -> int | None:
    return int(text) if text is not None and text.isascii() and text.isdigit() else None
