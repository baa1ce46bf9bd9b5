"""The complete configuration of a cell."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum, unique

from fuchsiawell.core import CellName, ServiceName

__all__ = [
    "Configuration",
    "Goal",
    "IdStyle",
    "Kind",
    "Service",
    "StoreOutage",
    "configuration_key",
]


@unique
class Goal(StrEnum):
    """What the load balancer optimizes first for a service."""

    IMBALANCE = "imbalance"
    UNAVAILABLE_TIME = "unavailable-time"


@unique
class StoreOutage(StrEnum):
    """What happens to a non-idempotent request while its intent cannot be written to the store."""

    REFUSE = "refuse"  # respond that the request was not executed
    # Keep the intent in the leader's memory only; if the leader is lost without a clean stop, later
    # requests are refused.
    CONTINUE = "continue"


@unique
class IdStyle(StrEnum):
    """Who assigns the ids of non-idempotent requests."""

    FREE_FORM = "free-form"  # the caller; each request needs an intent written to the store
    MINTED = "minted"  # the router; the id contains the leader's term, so no store write is needed


@dataclass(frozen=True, slots=True)
class Kind:
    """Configuration of one kind of request."""

    name: str
    repeatable: bool  # idempotent: may be executed more than once
    deadline_s: float  # the maximum; callers may request a shorter one
    max_body_bytes: int
    max_answer_bytes: int | None = None  # None: unlimited
    resend_window_s: float = 0.0  # how long a caller may resend the same request id
    store_outage: StoreOutage = StoreOutage.REFUSE
    id_style: IdStyle = IdStyle.FREE_FORM
    coalesce: bool = False  # equal requests in flight for one key share one response


@dataclass(frozen=True, slots=True)
class Service:
    """Configuration of one service and its backend servers."""

    name: ServiceName
    shard_count: int
    slots: int  # concurrent requests per backend server
    checks_fence: bool  # servers reject requests with a lower term or epoch than granted
    checks_deadline: bool  # servers neither start nor continue a request after its deadline
    goal: Goal
    max_connections: int = 130  # per backend server
    connect_cost_s: float = 0.001  # time to open one connection
    kinds_by_name: dict[str, Kind] = field(default_factory=dict)

    @property
    def longest_deadline_s(self) -> float:
        """Return the longest deadline of any kind.

        Where servers do not check fences, a new owner must wait for it.
        """
        return max((kind.deadline_s for kind in self.kinds_by_name.values()), default=0.0)


@dataclass(frozen=True, slots=True)
class Configuration:
    """Operator-defined configuration of one cell."""

    version: int  # increases with each change; 0: generated and not accepted yet
    cell: CellName
    region: str
    zones: tuple[str, ...]
    services_by_name: dict[ServiceName, Service] = field(default_factory=dict)

    def kind(self, service: str, kind: str) -> Kind | None:
        """Return the kind of request, or `None` if either name is unknown."""
        found = self.services_by_name.get(ServiceName(service))
        return None if found is None else found.kinds_by_name.get(kind)


def configuration_key(cell: CellName) -> str:
    """Return the store key of the cell's active configuration."""
    return f"cells/{cell}/configuration"
