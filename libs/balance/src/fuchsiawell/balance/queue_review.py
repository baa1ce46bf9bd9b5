"""Review of queued requests of urgency classes: which can no longer be served in time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from fuchsiawell.balance.admission_queue import AdmissionQueue, QueuedRequest

__all__ = ["OwnerLoad", "ReviewState", "TooLate", "begin_review", "review_queue"]

# Part of the queued work of other daemons, of the same class, that is taken to precede the only
# request of a daemon. Room is drawn by lot, so that half precedes it on average; with 0.25, three
# times as many requests were found too late that were served in time without refusals.
PRECEDING_PART = 0.1
# Part of its mean work after which a running request is taken to end: one of several ends early.
RUNNING_PART = 0.25


@dataclass(frozen=True)
class OwnerLoad:
    """What this daemon knows of an owner of keys and of the work for it."""

    in_flight: int
    # Mean work of the requests in flight; 0.0 if it does not rest on responses.
    mean_work_s: float
    slots: int
    latency_factor: float
    # Queued work of other daemons by class.
    others_ms: Sequence[int]


@dataclass(frozen=True)
class TooLate:
    """Why a queued request is refused."""

    wait_s: float
    # Whether it would have been in time without more urgent work that came after it.
    displaced: bool


@dataclass
class ReviewState:
    """What the review of a queued request needs."""

    deadline_s: float
    # Time before the deadline that it needs at a server of the usual pace: until then it is sent.
    # The pace of the owner is not counted, as one overdue response can raise it threefold.
    time_needed_s: float
    # The least work of its class at other daemons since it was queued: what precedes it of that is
    # not more, as further work came later.
    others_ms: int
    # More urgent work at other daemons when it was queued.
    others_urgent_ms: int
    # Whether it waits for a slot of the owner, and not for a new owner or a permit.
    needs_slot: bool = True
    too_late: TooLate | None = None

    @property
    def is_due(self) -> bool:
        """Return whether the load of the owner decides on the request."""
        return self.needs_slot and self.too_late is None


def begin_review(
    request: QueuedRequest, deadline_s: float, time_needed_s: float, others_ms: Sequence[int]
) -> None:
    """Let a queued request be reviewed; `others_ms` is the queued work of other daemons by class.

    Requests whose work does not rest on responses are not reviewed, and delay no others.
    """
    urgency = request.urgency
    request.review = ReviewState(
        deadline_s,
        time_needed_s,
        sum(others_ms[urgency : urgency + 1]),
        sum(others_ms[:urgency]),
    )


def review_queue(queue: AdmissionQueue, load: OwnerLoad, now_s: float) -> list[QueuedRequest]:
    """Mark and return the requests whose expected wait leaves too little time.

    The work ahead of a request is the queued work that precedes it and a part of what runs.
    Requests that are refused delay none of those behind them.
    """
    requests = [
        (request, request.review)
        for request in queue.in_order(now_s)
        if request.review is not None and request.review.is_due
    ]
    work_s_by_class: dict[int, float] = {}
    for request, _ in requests:
        work_s = work_s_by_class.get(request.urgency, 0.0)
        work_s_by_class[request.urgency] = work_s + request.work_s
    refused: list[QueuedRequest] = []
    kept: list[QueuedRequest] = []
    urgency, urgent_s, ahead_s = 0, 0.0, 0.0
    for request, state in requests:
        if request.urgency != urgency:
            urgency, urgent_s, ahead_s = request.urgency, urgent_s + ahead_s, 0.0
        state.others_ms = min(state.others_ms, sum(load.others_ms[urgency : urgency + 1]))
        others_urgent_ms = sum(load.others_ms[:urgency])
        class_s = ahead_s + _part_before(request, ahead_s, work_s_by_class) * state.others_ms / 1000
        latest_start_s = state.deadline_s - state.time_needed_s
        wait_s = _wait_s(load, urgent_s + others_urgent_ms / 1000 + class_s)
        if now_s + wait_s <= latest_start_s:
            ahead_s += request.work_s
            kept.append(request)
            continue
        earlier_s = min(others_urgent_ms, state.others_urgent_ms) / 1000 + sum(
            other.work_s
            for other in kept
            if other.urgency < urgency and other.sequence < request.sequence
        )
        displaced = now_s + _wait_s(load, earlier_s + class_s) <= latest_start_s
        state.too_late = TooLate(wait_s, displaced)
        refused.append(request)
    return refused


def _part_before(
    request: QueuedRequest, ahead_s: float, work_s_by_class: Mapping[int, float]
) -> float:
    """Return which part of its class at other daemons is taken to precede a request."""
    work_s = work_s_by_class[request.urgency]
    if not work_s:
        return 0.0
    return min(1.0, (ahead_s + PRECEDING_PART * request.work_s) / work_s)


def _wait_s(load: OwnerLoad, queued_s: float) -> float:
    running_s = RUNNING_PART * load.in_flight * load.mean_work_s
    return (queued_s + running_s) * load.latency_factor / max(1, load.slots)
