"""What a backend server is, and how it behaves until told otherwise."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum, unique

from pydantic import BaseModel, ConfigDict

__all__ = ["BackendSettings", "BehaviourModel", "HealthMode"]

CONNECTION_LIMIT = 130
CONNECT_COST_S = 0.001


@unique
class HealthMode(StrEnum):
    """Say what the health endpoint answers."""

    HONEST = "honest"  # unhealthy while draining
    UP = "up"
    DOWN = "down"


class BehaviourModel(BaseModel):
    """Hold what may change while the server runs, by PUT at `/_admin/behaviour`."""

    model_config = ConfigDict(extra="forbid")

    service_time_s: float = 0.005
    answer_bytes: int = 200
    draining: bool = False
    shedding: bool = False
    health: HealthMode = HealthMode.HONEST
    view_lag_s: float = 0.0  # health and load show what held that long ago
    load_scale: float = 1.0  # factor on the running and queued work that is shown


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """Hold what stays the same while the server runs."""

    id: str
    slots: int = 4
    queue_limit: int = 64
    connection_limit: int = CONNECTION_LIMIT
    connect_cost_s: float = CONNECT_COST_S
    checks_fence: bool = True
    checks_deadline: bool = True  # start or go on with nothing past its deadline
    cold_start_s: float = 0.0  # time over which work falls from `cold_factor` to its usual time
    cold_factor: float = 3.0
