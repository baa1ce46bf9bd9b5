"""Routes, traffic splitting and the backend directory; does no I/O and reads no clock."""

from __future__ import annotations

from fuchsiawell.routing.configuration import (
    ClientLimits,
    Configuration,
    Idempotency,
    Route,
    Service,
    WeightedService,
)
from fuchsiawell.routing.directory import Backend, BackendDirectory
from fuchsiawell.routing.evacuated_zones import EvacuatedZones
from fuchsiawell.routing.leaving_servers import LeavingServers
from fuchsiawell.routing.removed_servers import RemovedServers
from fuchsiawell.routing.traffic_split import TrafficSplitter

__all__ = [
    "Backend",
    "BackendDirectory",
    "ClientLimits",
    "Configuration",
    "EvacuatedZones",
    "Idempotency",
    "LeavingServers",
    "RemovedServers",
    "Route",
    "Service",
    "TrafficSplitter",
    "WeightedService",
]
