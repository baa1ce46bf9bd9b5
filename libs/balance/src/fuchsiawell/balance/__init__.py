"""Load balancing and overload protection; does no I/O and reads no clock."""

from __future__ import annotations

from fuchsiawell.balance.admission_queue import AdmissionQueue, QueuedRequest
from fuchsiawell.balance.backend_selection import (
    BackendSelector,
    Candidate,
    expected_latency_s,
    free_capacity,
)
from fuchsiawell.balance.cold_servers import ColdBound, ColdServers
from fuchsiawell.balance.daemon_groups import (
    HUBS_PER_GROUP,
    GroupMember,
    group_daemons,
    may_follow,
)
from fuchsiawell.balance.in_flight import InFlightCounts, short_id
from fuchsiawell.balance.latency_estimates import LatencyEstimates
from fuchsiawell.balance.outlier_detection import OutlierDetector
from fuchsiawell.balance.permit_issuer import (
    MIN_RATE_PER_S,
    PermitDecision,
    PermitIssuer,
    PermitTicket,
)
from fuchsiawell.balance.permit_waits import PermitWaits
from fuchsiawell.balance.poison_requests import PoisonRequestDetector
from fuchsiawell.balance.queue_review import (
    OwnerLoad,
    ReviewState,
    TooLate,
    begin_review,
    review_queue,
)
from fuchsiawell.balance.queued_work import (
    QueuedWork,
    expected_class_wait_s,
    subtract_work,
)
from fuchsiawell.balance.rate_limits import RateLimit, RateLimits
from fuchsiawell.balance.reachability import Reachability
from fuchsiawell.balance.relay_selection import RelayCandidate, RelaySelector
from fuchsiawell.balance.rendezvous import rendezvous_order
from fuchsiawell.balance.response_sizes import ResponseSizes
from fuchsiawell.balance.retry_budget import RetryBudget, RetryRules
from fuchsiawell.balance.room import FULL_ROOM, ClassRoom, RoomShares, reserved_slots
from fuchsiawell.balance.second_attempt_rules import SecondAttemptRules
from fuchsiawell.balance.second_attempts import SecondAttemptDenial, SecondAttempts
from fuchsiawell.balance.served_shares import ServedShares
from fuchsiawell.balance.server_loads import ServerLoad, ServerLoads
from fuchsiawell.balance.server_occupancy import ServerOccupancy
from fuchsiawell.balance.server_rests import MAX_REST_S, ServerRests
from fuchsiawell.balance.shared_paces import (
    MAX_GROUP_SAMPLES,
    MIN_SHARED_FACTOR,
    PaceSamples,
    SharedPace,
    SharedPaces,
)
from fuchsiawell.balance.urgency import ClassDemand, UrgencyClasses, urgency_classes
from fuchsiawell.balance.zone_room import MIN_PRICED_BYTES, ZoneLoads

__all__ = [
    "FULL_ROOM",
    "HUBS_PER_GROUP",
    "MAX_GROUP_SAMPLES",
    "MAX_REST_S",
    "MIN_PRICED_BYTES",
    "MIN_RATE_PER_S",
    "MIN_SHARED_FACTOR",
    "AdmissionQueue",
    "BackendSelector",
    "Candidate",
    "ClassDemand",
    "ClassRoom",
    "ColdBound",
    "ColdServers",
    "GroupMember",
    "InFlightCounts",
    "LatencyEstimates",
    "OutlierDetector",
    "OwnerLoad",
    "PaceSamples",
    "PermitDecision",
    "PermitIssuer",
    "PermitTicket",
    "PermitWaits",
    "PoisonRequestDetector",
    "QueuedRequest",
    "QueuedWork",
    "RateLimit",
    "RateLimits",
    "Reachability",
    "RelayCandidate",
    "RelaySelector",
    "ResponseSizes",
    "RetryBudget",
    "RetryRules",
    "ReviewState",
    "ServerLoad",
    "ServerLoads",
    "ServerOccupancy",
    "SecondAttemptDenial",
    "SecondAttemptRules",
    "SecondAttempts",
    "RoomShares",
    "ServedShares",
    "ServerRests",
    "TooLate",
    "UrgencyClasses",
    "ZoneLoads",
    "begin_review",
    "expected_class_wait_s",
    "SharedPace",
    "SharedPaces",
    "expected_latency_s",
    "free_capacity",
    "group_daemons",
    "may_follow",
    "rendezvous_order",
    "reserved_slots",
    "review_queue",
    "short_id",
    "subtract_work",
    "urgency_classes",
]
