"""Admission of requests by urgency class, in services whose routes differ in urgency."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.balance import ServedShares, begin_review, expected_class_wait_s
from fuchsiawell.gateway.execute.refusal import not_executed
from fuchsiawell.gateway.session.class_rooms import class_label

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.balance import AdmissionQueue, QueuedRequest
    from fuchsiawell.gateway.execute.backend_client import Target
    from fuchsiawell.gateway.execute.client_request import ClientRequest
    from fuchsiawell.gateway.execute.owner_selection import OwnerSelection
    from fuchsiawell.gateway.execute.refusal import Refusal
    from fuchsiawell.gateway.execute.request_timing import RequestTiming
    from fuchsiawell.gateway.session.state import Session

__all__ = ["ClassAdmission"]


class ClassAdmission:
    """The class of a request, and what follows from it for its place in the queue."""

    def __init__(self, session: Session, timing: RequestTiming, owners: OwnerSelection) -> None:
        self._session = session
        self._timing = timing
        self._owners = owners
        self._served = ServedShares()

    def differs(self, request: ClientRequest) -> bool:
        """Return whether the routes of the request's service differ in urgency."""
        return self._session.class_rooms.differs(request.service)

    def classify(self, request: ClientRequest) -> None:
        """Set the urgency class of a request; one of a class that starves goes with the first."""
        session = self._session
        urgency = session.class_rooms.present_class(request.service, request.route.name)
        if urgency and self._served.starves(
            request.service, self._owner_id(request), urgency, session.now_s
        ):
            session.metrics.count("class_turns", class_label(request.service, urgency))
            urgency = 0
        request.urgency = urgency

    def record_placed(self, request: ClientRequest, target: Target) -> None:
        """Record that a request got a place at a server."""
        if self.differs(request):
            self._session.class_rooms.record_admission(request.urgency, target.backend_id)
            self._record(request, True)

    def record_refused(self, request: ClientRequest, reason: str) -> None:
        """Record that a request is refused; only a lack of room is one of the class."""
        if reason == "no free slot" and self.differs(request):
            self._record(request, False)

    def latest_on_time_start_s(self, request: ClientRequest) -> float:
        """Return the latest start that meets the target latency, at the pace of the owner.

        At a slow owner long work must start earlier; elsewhere another server may serve it.
        """
        owner_id = self._owner_id(request) if self.differs(request) else None
        if owner_id is None:
            return self._timing.latest_on_time_start_s(request)
        return self._timing.latest_on_time_start_s(request, self._latency_factor(owner_id))

    def enqueue(
        self, request: ClientRequest, queue: AdmissionQueue, wake: Callable[[], None]
    ) -> QueuedRequest | None:
        """Add a request to a queue; return None when the queue is full."""
        differs = self.differs(request)
        queued = queue.enqueue(
            request.route.priority,
            request.deadline_s,
            self.latest_on_time_start_s(request),
            wake,
            request.urgency if differs else None,
            self._timing.service_time_s(request),
        )
        owner_id = self._owner_id(request) if differs and queued is not None else None
        # Without samples of its route nothing is known of the time that a request needs.
        if (
            queued is not None
            and owner_id is not None
            and self._session.latency_estimates.is_measured(request.route.name)
        ):
            begin_review(
                queued,
                request.deadline_s,
                request.deadline_s - self._timing.latest_start_s(request),
                self._session.queued_work.others_ms(owner_id),
            )
        return queued

    def queued_refusal(
        self, request: ClientRequest, queue: AdmissionQueue, queued: QueuedRequest
    ) -> Refusal | None:
        """Return a refusal if the review of the queue has found a queued request too late."""
        review, owner_id = queued.review, self._owner_id(request)
        if review is None or review.too_late is None or owner_id is None:
            return None
        session, too_late = self._session, review.too_late
        if session.is_blocked(request.service, request.key or 0):
            # The next owner of its key may have room.
            review.too_late = None
            return None
        if too_late.displaced:
            urgency = session.class_rooms.class_of(request.service, request.route.name)
            session.metrics.count("class_displaced", class_label(request.service, urgency))
        queue.remove(queued)
        return not_executed(
            f"no free slot: a further wait of {too_late.wait_s:.3f} s leaves too little time",
            self._timing.retry_after_wait_s(self._owner_wait_s(request, queue, owner_id)),
        )

    def wait_refusal(
        self, request: ClientRequest, queue: AdmissionQueue, is_queued: bool
    ) -> Refusal | None:
        """Return a refusal if the expected wait for a slot leaves too little time."""
        owner_id = self._owner_id(request) if self.differs(request) else None
        if owner_id is None:
            wait_s = self._own_wait_s(request, queue)
            latest_start_s = self._timing.latest_start_s(request)
            retry_after: Callable[[float], float] = self._timing.retry_after_s
        elif is_queued:
            # The sums include the request itself and what came after it.
            return None
        else:
            wait_s = self._owner_wait_s(request, queue, owner_id)
            latest_start_s = self._timing.latest_start_s(request, self._latency_factor(owner_id))
            retry_after = self._timing.retry_after_wait_s
        if self._session.now_s + wait_s <= latest_start_s:
            return None
        return not_executed(
            f"no free slot: wait of {wait_s:.3f} s leaves too little time", retry_after(wait_s)
        )

    def _record(self, request: ClientRequest, served: bool) -> None:
        session = self._session
        # A request that went with the first class counts for its own.
        urgency = session.class_rooms.class_of(request.service, request.route.name)
        self._served.record(
            request.service, self._owner_id(request), urgency, served, session.now_s
        )
        if not served:
            session.metrics.count("class_refused", class_label(request.service, urgency))

    def _own_wait_s(self, request: ClientRequest, queue: AdmissionQueue) -> float:
        """Return the expected wait by the times between recent admissions of this daemon."""
        now_s = self._session.now_s
        is_late = self._timing.latest_on_time_start_s(request) < now_s
        return queue.expected_wait_s(request.route.priority, now_s, is_late, request.urgency)

    def _owner_wait_s(self, request: ClientRequest, queue: AdmissionQueue, owner_id: str) -> float:
        """Return the expected wait by the work that all daemons have for an owner."""
        session = self._session
        backend = session.directory.by_id.get(owner_id)
        # Those that run are on average in the middle of their work, but longer than the mean.
        running_s = session.in_flight_counts.total(owner_id) * session.class_rooms.mean_work_s(
            request.service
        )
        return expected_class_wait_s(
            queue.work_ms(session.class_rooms.classes(request.service).count),
            session.queued_work.others_ms(owner_id),
            request.urgency,
            running_s,
            1 if backend is None else backend.slots,
            self._latency_factor(owner_id),
        )

    def _owner_id(self, request: ClientRequest) -> str | None:
        owner = self._owners.owner(request) if self._owners.needs_owner(request) else None
        return None if owner is None else owner.backend_id

    def _latency_factor(self, backend_id: str) -> float:
        return self._session.latency_estimates.latency_factor(backend_id, self._session.now_s)
