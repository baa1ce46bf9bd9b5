"""Load balancing and overload protection; does no I/O and reads no clock."""

from __future__ import annotations

from fuchsiawell.balance.admission_queue import AdmissionQueue, QueuedRequest
from fuchsiawell.balance.backend_selection import (
    BackendSelector,
    Candidate,
    expected_latency_s,
    free_capacity,
)
from fuchsiawell.balance.daemon_groups import HUBS_PER_GROUP, GroupMember, group_daemons
from fuchsiawell.balance.in_flight import InFlightCounts, short_id
from fuchsiawell.balance.latency_estimates import LatencyEstimates
from fuchsiawell.balance.outlier_detection import OutlierDetector
from fuchsiawell.balance.poison_requests import PoisonRequestDetector
from fuchsiawell.balance.rate_limits import RateLimit, RateLimits
from fuchsiawell.balance.retry_budget import RetryBudget, RetryRules

__all__ = [
    "HUBS_PER_GROUP",
    "AdmissionQueue",
    "BackendSelector",
    "Candidate",
    "GroupMember",
    "InFlightCounts",
    "LatencyEstimates",
    "OutlierDetector",
    "PoisonRequestDetector",
    "QueuedRequest",
    "RateLimit",
    "RateLimits",
    "RetryBudget",
    "RetryRules",
    "expected_latency_s",
    "free_capacity",
    "group_daemons",
    "short_id",
]
