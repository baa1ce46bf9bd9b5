"""A client's request and what has become of it so far."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiawell.routing import Idempotency

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.backend_client import Target
    from fuchsiawell.gateway.execute.body import RequestBody
    from fuchsiawell.gateway.execute.relay_messages import RelayOrder
    from fuchsiawell.httpio import RequestHead
    from fuchsiawell.routing import Route

__all__ = ["ClientRequest"]


@dataclass
class ClientRequest:
    """A client's request; times are monotonic seconds."""

    head: RequestHead
    request_id: str
    route: Route
    service: str
    key: int | None
    body: RequestBody
    arrived_s: float
    deadline_s: float
    fingerprint: int
    attempted_backends: list[str] = field(default_factory=list)
    # Whether a server may have executed it, or may be executing it.
    maybe_executed: bool = False
    # How often the owner of the key under a fencing token reported that it does not own the key.
    refusals_by_fence: Counter[int] = field(default_factory=Counter)
    # Set if another daemon, which reaches no server, has sent the request here.
    order: RelayOrder | None = None
    # Whether it may be sent through another daemon.
    may_relay: bool = False
    # Attempts that were left to other daemons whose answers were lost.
    relayed_attempts: int = 0
    # Whether an attempt may have arrived at a server, whatever became of it there.
    reached_server: bool = False
    # Whether the retry budget and the key counts of some daemon include it.
    counted: bool = False
    # Its urgency class while it is placed; 0 is the most urgent.
    urgency: int = 0
    # Server that sent the last response.
    served_by: Target | None = None

    @property
    def idempotent(self) -> bool:
        """Return whether it may be executed more than once."""
        return self.route.idempotency is Idempotency.IDEMPOTENT

    @property
    def attempts(self) -> int:
        """Return the number of attempts so far, by this daemon and by others."""
        return len(self.attempted_backends) + self.relayed_attempts

    @property
    def tried_backends(self) -> set[str]:
        """Return the servers that this daemon and the one that sent it here have attempted."""
        elsewhere = () if self.order is None else self.order.attempted
        return {*self.attempted_backends, *elsewhere}

    @property
    def max_attempts(self) -> int:
        """Return how many attempts it may have here."""
        if self.order is None:
            return self.route.max_attempts
        return min(self.route.max_attempts, self.order.max_attempts)
