"""What `fuchsiawell status` has learned of a cell, from its daemons and from the store."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from fuchsiawell.daemon.operators import Overview

if TYPE_CHECKING:
    from fuchsiawell.config import Configuration

__all__ = ["CellView", "DaemonView", "Unreachable", "read_daemon"]


class MetricsModel(BaseModel):
    """Validate what is shown of a daemon's metrics; other fields are left out."""

    model_config = ConfigDict(extra="ignore")

    in_flight: int = 0
    outcomes: dict[str, int] = Field(default_factory=dict)


class StatusModel(BaseModel):
    """Validate a daemon's status; fields of newer daemons are left out."""

    model_config = ConfigDict(extra="ignore")

    daemon: Annotated[str, Field(min_length=1)]
    zone: str
    cell: str
    overview: Overview | None = None
    right_to_act: bool = False
    heard: list[str] = Field(default_factory=list)
    store: str = "answers"
    from_store: bool = True
    members: list[str] = Field(default_factory=list)
    configuration_version: int = 0
    leads: dict[str, str] = Field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DaemonView:
    """Hold one daemon's own account."""

    name: str
    zone: str
    cell: str
    overview: Overview | None
    has_right: bool  # to act for the servers that it leads
    heard: tuple[str, ...]
    store_answers: bool
    from_store: bool  # its records come from the store and not from a peer
    members: tuple[str, ...]
    configuration_version: int
    leads: dict[str, str]  # state by server
    in_flight: int
    count_by_outcome: dict[str, int]


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Hold the address of a daemon or store that did not answer, and why."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True, slots=True)
class CellView:
    """Hold everything that was learned; parts that were not asked for are empty."""

    daemons: tuple[DaemonView, ...] = ()
    unreachable: tuple[Unreachable, ...] = ()
    asked_store: bool = False
    store_failure: Unreachable | None = None
    store_overview: Overview | None = None
    configuration: Configuration | None = None
    cells: frozenset[str] = field(default_factory=frozenset)

    @property
    def overview(self) -> Overview | None:
        """Return the newest record that was seen."""
        seen = [daemon.overview for daemon in self.daemons if daemon.overview is not None]
        if self.store_overview is not None:
            seen.append(self.store_overview)
        return max(seen, key=lambda overview: overview.revision, default=None)

    @property
    def configuration_version(self) -> int:
        """Return the newest version that was seen; 0 for none."""
        stored = 0 if self.configuration is None else self.configuration.version
        return max((stored, *(daemon.configuration_version for daemon in self.daemons)))


def read_daemon(peer: str, status: bytes, metrics: bytes) -> Result[DaemonView, Unreachable]:
    """Return what the daemon at `peer` told in JSON."""
    try:
        told = StatusModel.model_validate_json(status)
        counted = MetricsModel.model_validate_json(metrics)
    except ValidationError as error:
        return Err(Unreachable("read status", peer, f"not a daemon's status: {error.errors()[0]}"))
    return Ok(
        DaemonView(
            name=told.daemon,
            zone=told.zone,
            cell=told.cell,
            overview=told.overview,
            has_right=told.right_to_act,
            heard=tuple(told.heard),
            store_answers=told.store == "answers",
            from_store=told.from_store,
            members=tuple(told.members),
            configuration_version=told.configuration_version,
            leads=told.leads,
            in_flight=counted.in_flight,
            count_by_outcome=counted.outcomes,
        )
    )
