"""Names of the HTTP header fields that callers and backend servers see."""

from __future__ import annotations

from enum import StrEnum, unique

__all__ = ["Header", "RefusalCause", "ServerPath"]


@unique
class Header(StrEnum):
    """Name a header field; lower case, as HTTP libraries deliver them."""

    IDEMPOTENCY_KEY = "idempotency-key"  # caller to daemon: the request's id
    DEADLINE_MS = "fuchsiawell-deadline-ms"  # milliseconds left, shrinking from hop to hop
    ATTEMPT = "fuchsiawell-attempt"  # caller to daemon: 1 states that the id was never sent before
    OUTCOME = "fuchsiawell-outcome"  # daemon to caller: answered, not-run or unknown
    REQUEST_ID = "fuchsiawell-request-id"  # given by the entry daemon, in every answer and log
    ISSUED_ID = "fuchsiawell-issued-id"  # daemon to caller: an id to use for a later request
    TERM = "fuchsiawell-term"  # daemon to server: term of the leader
    SHARD = "fuchsiawell-shard"  # daemon to server: shard of the key
    EPOCH = "fuchsiawell-epoch"  # daemon to server: epoch of the shard's ownership
    REFUSED = "fuchsiawell-refused"  # server to daemon: proof that the work was not run


@unique
class RefusalCause(StrEnum):
    """Say why a backend server refused a request before running it."""

    FENCE = "fence"  # lower term or epoch than granted, or no grant
    DEADLINE = "deadline"
    SHED = "shed"
    DRAIN = "drain"


@unique
class ServerPath(StrEnum):
    """Name the paths of a backend server that are not its callers'.

    GRANT: GET gives {"clock_ms"}, the server's monotonic clock, as does every answer here.
    POST {"leader", "term", "call", "clock_ms", "ttl_ms", "run_ms", "epochs": {"service/index":
    epoch}} replaces all grants of a lower or the same term, good until the clock reads `clock_ms`
    plus `ttl_ms`, however late the call arrives; work that still runs at `clock_ms` plus `run_ms`
    is stopped. 200, or 409 {"term"} when a higher term is known, or a `call` of this term that is
    not lower, or 410 when this process of the server did not give the reading `clock_ms`.
    RENEW: POST {"term", "clock_ms", "ttl_ms", "run_ms"}; 200, 409 for a higher term, 410 when the
    grant lapsed or is unknown.
    RELEASE: POST {"term", "shard"}; 200 once nothing of the shard runs and its grant is gone.
    CANCEL: POST {"request"}; 200 {"state": "not-run" | "running" | "done" | "unknown"}.
    HEALTH: GET, 200 or 503. LOAD: GET {"running", "queued", "slots"}. Both may mislead.
    """

    GRANT = "/_owner/grant"
    RENEW = "/_owner/renew"
    RELEASE = "/_owner/release"
    CANCEL = "/_owner/cancel"
    HEALTH = "/health"
    LOAD = "/load"
