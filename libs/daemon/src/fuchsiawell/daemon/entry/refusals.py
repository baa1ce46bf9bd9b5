"""How outcomes look to callers: status, header fields and body."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.core import Answered, Header, NotRun, NotRunReason, Unknown

if TYPE_CHECKING:
    from fuchsiawell.core import Outcome, RequestId
    from fuchsiawell.transport import Headers

__all__ = ["OutcomePage", "outcome_page"]

STATUS_UNKNOWN = 504
STATUS_NOT_RUN = 503  # for every reason that passes with time
STATUS_BY_REASON = {
    NotRunReason.MALFORMED: 400,
    NotRunReason.TOO_LARGE: 413,
    NotRunReason.TOO_SLOW: 408,
    NotRunReason.UNKNOWN_SERVICE: 404,
    NotRunReason.UNKNOWN_KIND: 404,
    NotRunReason.ID_REQUIRED: 428,
    NotRunReason.ID_CONFLICT: 409,
    NotRunReason.ID_EXPIRED: 410,
    NotRunReason.CALLER_LIMIT: 429,
    NotRunReason.CONVICTED: 422,
}


@dataclass(frozen=True, slots=True)
class OutcomePage:
    """Hold an answer of this system's own."""

    status: int
    headers: Headers
    body: bytes


def outcome_page(outcome: Outcome, request_id: RequestId, detail: str = "") -> OutcomePage:
    """Return the answer that tells a caller the outcome; the body is JSON."""
    match outcome:
        case NotRun(reason, step, peer, retry_after_s):
            status = STATUS_BY_REASON.get(reason, STATUS_NOT_RUN)
            fields = {"outcome": "not-run", "reason": reason.value, "step": step.value}
        case Unknown(step, peer, cause):
            status, retry_after_s, detail = STATUS_UNKNOWN, None, detail or cause
            fields = {"outcome": "unknown", "step": step.value}
        case Answered(_):
            raise ValueError("an answer is passed on, not described")
    body = {**fields, "peer": peer, "request": request_id}
    if detail:
        body["detail"] = detail
    headers: Headers = [
        (b"content-type", b"application/json"),
        (Header.OUTCOME.encode(), fields["outcome"].encode()),
        (Header.REQUEST_ID.encode(), request_id.encode()),
    ]
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%d" % max(1, math.ceil(retry_after_s))))
        body["retry_after_s"] = str(round(retry_after_s, 3))
    data = json.dumps(body).encode()
    headers.append((b"content-length", b"%d" % len(data)))
    return OutcomePage(status, headers, data)
