"""Header fields and paths used between clients, daemons and backend servers."""

from __future__ import annotations

from enum import StrEnum, unique

__all__ = ["Header", "RefusalCause", "ServerPath"]


@unique
class Header(StrEnum):
    """Header field names; lower case, as HTTP libraries deliver them."""

    IDEMPOTENCY_KEY = "idempotency-key"  # client to daemon: the request's id
    DEADLINE_MS = "fuchsiawell-deadline-ms"  # milliseconds left, reduced at each hop
    ATTEMPT = "fuchsiawell-attempt"  # client to daemon: 1 means that the id was never sent before
    OUTCOME = "fuchsiawell-outcome"  # daemon to client: answered, not-run or unknown
    REQUEST_ID = "fuchsiawell-request-id"  # set by the entry daemon, in every response and log
    ISSUED_ID = "fuchsiawell-issued-id"  # daemon to client: an id to use for a later request
    TERM = "fuchsiawell-term"  # daemon to server: term of the leader
    SHARD = "fuchsiawell-shard"  # daemon to server: shard of the key
    EPOCH = "fuchsiawell-epoch"  # daemon to server: epoch of the shard's ownership
    REFUSED = "fuchsiawell-refused"  # server to daemon: the request was not executed


@unique
class RefusalCause(StrEnum):
    """Why a backend server refused a request before executing it."""

    FENCE = "fence"  # term or epoch lower than granted, or no grant
    DEADLINE = "deadline"
    SHED = "shed"
    DRAIN = "drain"


@unique
class ServerPath(StrEnum):
    """Paths of a backend server for control calls, not for client requests.

    GRANT: GET returns {"clock_ms"}, the server's monotonic clock, as does every response here.
    POST {"leader", "term", "call", "clock_ms", "ttl_ms", "run_ms", "epochs": {"service/index":
    epoch}} replaces all grants of the same or a lower term. `clock_ms` is a value that the server
    returned before, `call` the number of this call in its term. The grant expires when the server's
    clock reads `clock_ms` plus `ttl_ms`, however late the call arrives; requests still executing at
    `clock_ms` plus `run_ms` are stopped. Returns 200; 409 {"term"} if the server has seen a higher
    term, or the same or a higher `call` of this term; 410 if `clock_ms` was not returned by this
    process of the server.
    RENEW: POST {"term", "clock_ms", "ttl_ms", "run_ms"}; 200, 409 for a higher term, 410 when the
    grant has expired or is unknown.
    RELEASE: POST {"term", "shard"}; 200 once no request of the shard executes and its grant is
    removed.
    CANCEL: POST {"request"}; 200 {"state": "not-run" | "running" | "done" | "unknown"}.
    HEALTH: GET, 200 or 503. LOAD: GET {"running", "queued", "slots"}. Both can be wrong.
    """

    GRANT = "/_owner/grant"
    RENEW = "/_owner/renew"
    RELEASE = "/_owner/release"
    CANCEL = "/_owner/cancel"
    HEALTH = "/health"
    LOAD = "/load"
