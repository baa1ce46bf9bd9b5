"""The complete configuration of a cell, as the router uses it."""

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
    """Say what the balancer weighs most for a service."""

    IMBALANCE = "imbalance"
    UNAVAILABLE_TIME = "unavailable-time"


@unique
class StoreOutage(StrEnum):
    """Say what happens to a never-repeat request while its intent cannot be stored."""

    REFUSE = "refuse"  # answered as not run
    CONTINUE = "continue"  # runs on the leader's memory; an unclean loss costs refusals later


@unique
class IdStyle(StrEnum):
    """Say who makes the ids of never-repeat requests."""

    FREE_FORM = "free-form"  # the caller; each costs a durable intent
    MINTED = "minted"  # the router, with the leader's term inside; no store write


@dataclass(frozen=True, slots=True)
class Kind:
    """Hold the rules for one kind of request."""

    name: str
    repeatable: bool
    deadline_s: float  # the longest time a caller may wait; callers may ask for less
    max_body_bytes: int
    max_answer_bytes: int | None = None  # None: no bound
    resend_window_s: float = 0.0  # a caller may send the same id again for so long
    store_outage: StoreOutage = StoreOutage.REFUSE
    id_style: IdStyle = IdStyle.FREE_FORM
    coalesce: bool = False  # equal requests in flight for one key share one answer


@dataclass(frozen=True, slots=True)
class Service:
    """Hold the rules for one service's backend servers."""

    name: ServiceName
    shard_count: int
    slots: int  # requests that one backend server runs at once
    checks_fence: bool  # servers refuse work with a lower term or epoch than granted
    checks_deadline: bool  # servers start or go on with nothing past its deadline
    goal: Goal
    max_connections: int = 130  # that one backend server accepts
    connect_cost_s: float = 0.001  # time to open a connection
    kinds_by_name: dict[str, Kind] = field(default_factory=dict)

    @property
    def longest_deadline_s(self) -> float:
        """Return the longest deadline of any kind; successors of unchecked servers wait for it."""
        return max((kind.deadline_s for kind in self.kinds_by_name.values()), default=0.0)


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold everything the operators decide about a cell; versions only go up."""

    version: int  # 0: generated and not accepted yet
    cell: CellName
    region: str
    zones: tuple[str, ...]
    services_by_name: dict[ServiceName, Service] = field(default_factory=dict)

    def kind(self, service: str, kind: str) -> Kind | None:
        """Return the rules for a kind of request; `None` where either name is unknown."""
        found = self.services_by_name.get(ServiceName(service))
        return None if found is None else found.kinds_by_name.get(kind)


def configuration_key(cell: CellName) -> str:
    """Return the store's key of the cell's configuration in force."""
    return f"cells/{cell}/configuration"
