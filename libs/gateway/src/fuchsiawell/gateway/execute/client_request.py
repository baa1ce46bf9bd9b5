"""A client's request and what has become of it so far."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiawell.routing import Idempotency

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.body import RequestBody
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

    @property
    def idempotent(self) -> bool:
        """Return whether it may be executed more than once."""
        return self.route.idempotency is Idempotency.IDEMPOTENT
