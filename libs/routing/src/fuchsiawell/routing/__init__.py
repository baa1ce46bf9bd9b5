"""Routes, splits, and the directory of backend servers; no network, no clock of its own."""

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
from fuchsiawell.routing.traffic_split import TrafficSplitter

__all__ = [
    "Backend",
    "ClientLimits",
    "Configuration",
    "BackendDirectory",
    "WeightedService",
    "Idempotency",
    "Route",
    "Service",
    "TrafficSplitter",
]
