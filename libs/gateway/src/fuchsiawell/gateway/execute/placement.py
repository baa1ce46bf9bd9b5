"""Select a server for a request: the owner of its key or the best of the service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.balance import free_capacity
from fuchsiawell.gateway.execute.backend_client import Target
from fuchsiawell.gateway.execute.refusal import Refusal, not_executed

if TYPE_CHECKING:
    from fuchsiawell.balance import AdmissionQueue, QueuedRequest
    from fuchsiawell.gateway.execute.forwarder import ClientRequest
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.routing import Backend

__all__ = ["Placement"]

# Bounds of the retry-after time of a refused request, before jitter.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.15, 1.0
# A request waits this long for an available owner of its key; a move of keys takes less.
OWNER_WAIT_S = 0.5
# After this many refusals by the owner of its key a request waits for a new assignment: further
# attempts would only add load.
MAX_REFUSALS_PER_FENCE = 2
# A request is refused when less than this part of its usual service time is left.
MIN_TIME_LEFT_FRACTION = 0.9


class Placement:
    """Reserve slots at servers; requests that find none wait in queues, the most urgent first."""

    def __init__(self, session: Session) -> None:
        self._session = session

    async def place(self, request: ClientRequest) -> Target | Refusal:
        """Reserve a slot and return its server, or a refusal; the caller releases the slot."""
        session = self._session
        started_s = session.now_s
        queued: QueuedRequest | None = None
        waited_since_s: float | None = None
        queue: AdmissionQueue | None = None
        try:
            while True:
                result = self._find_target(request, queued is not None)
                if isinstance(result, Target):
                    session.in_flight_counts.started(result.backend_id)
                    self._queue(request).record_admission(session.now_s, waited_since_s)
                    return result
                refusal = self._early_refusal(request, result, started_s)
                if refusal is not None:
                    return refusal
                current_queue = self._queue(request)
                if queued is None or queue is not current_queue:
                    if queued is not None and queue is not None:
                        queue.remove(queued)
                    queue, woken = current_queue, asyncio.Event()
                    waited_since_s = session.now_s
                    queued = current_queue.enqueue(
                        request.route.priority,
                        request.deadline_s,
                        self._latest_on_time_start_s(request),
                        woken.set,
                    )
                    if queued is None:
                        return not_executed("admission queue is full", MAX_RETRY_AFTER_S)
                woken.clear()
                current_queue.requeue(queued)
                await self._wait(request, result, woken)
        finally:
            if queued is not None and queue is not None:
                queue.remove(queued)

    def release(self, target: Target) -> None:
        """Release a slot and wake queued requests."""
        self._session.in_flight_counts.finished(target.backend_id)
        self._session.wake_for_free_slots()

    def retry_after_s(self, expected_wait_s: float = 0.0) -> float:
        """Return a retry-after time with jitter, so that clients do not all retry together."""
        base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_wait_s))
        return base_s * self._session.random.uniform(0.8, 1.4)

    def _find_target(self, request: ClientRequest, was_queued: bool) -> Target | str:
        """Return a server with a free slot, or the reason why there is none."""
        if request.key is not None and self._is_sharded(request.service):
            return self._find_owner(request, request.key, was_queued)
        backends = self._session.directory.preferred(request.service)
        if not backends:
            return "no servers"
        if not was_queued and len(self._session.admission_queue(request.service)):
            return "no free slot"
        avoid = (
            set(request.attempted_backends)
            if len(set(request.attempted_backends)) < len(backends)
            else set()
        )
        candidate = self._session.backend_selector.select(
            backends, request.route.name, request.body.size_bytes, self._session.now_s, avoid
        )
        return "no free slot" if candidate is None else _target_of(candidate.backend)

    def _find_owner(self, request: ClientRequest, key: int, was_queued: bool) -> Target | str:
        session = self._session
        assignment = session.assignment(request.service, key)
        if assignment is None or assignment.owner is None:
            return "no owner"
        if session.is_blocked(request.service, key):
            return "moving"
        if request.refusals_by_fence[assignment.fence] >= MAX_REFUSALS_PER_FENCE:
            # Operators match this text and "moving".
            return "holder refused"
        owner = assignment.owner
        if not session.owner_accepts_requests(owner.backend_id):
            return "owner draining"
        backend = session.directory.by_id.get(owner.backend_id)
        if backend is not None and backend.incarnation > owner.incarnation:
            return "owner restarted"
        own_count = session.in_flight_counts.own_count(owner.backend_id)
        if not session.outlier_detector.admits_owner(owner.backend_id, own_count, session.now_s):
            return "owner unreachable"
        if not was_queued and len(session.admission_queue(request.service, owner.backend_id)):
            return "no free slot"
        if (
            backend is not None
            and free_capacity(backend, session.in_flight_counts.total(owner.backend_id)) <= 0
        ):
            return "no free slot"
        return Target(
            owner.backend_id, owner.incarnation_id, owner.host, owner.port, assignment.fence
        )

    def _early_refusal(
        self, request: ClientRequest, reason: str, started_s: float
    ) -> Refusal | None:
        """Return a refusal if waiting is pointless, None if the request should wait."""
        session = self._session
        now_s = session.now_s
        service_time_s = session.latency_estimates.service_time_s(request.route.name)
        latest_start_s = request.deadline_s - MIN_TIME_LEFT_FRACTION * service_time_s
        if now_s >= latest_start_s:
            return not_executed(
                f"{reason}: not enough time before the deadline", self.retry_after_s()
            )
        match reason:
            case "no servers":
                return not_executed(reason, self.retry_after_s(MAX_RETRY_AFTER_S))
            case "no free slot":
                is_late = now_s > self._latest_on_time_start_s(request)
                expected_wait_s = self._queue(request).expected_wait_s(
                    request.route.priority, now_s, is_late
                )
                if now_s + expected_wait_s > latest_start_s:
                    return not_executed(
                        f"{reason}: wait of {expected_wait_s:.3f} s leaves too little time",
                        self.retry_after_s(expected_wait_s),
                    )
                return None
            case _:
                if now_s - started_s > OWNER_WAIT_S:
                    return not_executed(reason, self.retry_after_s(MAX_RETRY_AFTER_S))
                return None

    async def _wait(self, request: ClientRequest, reason: str, woken: asyncio.Event) -> None:
        service_time_s = self._session.latency_estimates.service_time_s(request.route.name)
        timeout_s = (
            request.deadline_s - MIN_TIME_LEFT_FRACTION * service_time_s - self._session.now_s
        )
        if reason != "no free slot":
            timeout_s = min(timeout_s, OWNER_WAIT_S)
        try:
            async with asyncio.timeout(max(0.001, timeout_s)):
                await woken.wait()
        except TimeoutError:
            return

    def _latest_on_time_start_s(self, request: ClientRequest) -> float:
        """Return the latest start time that meets the target latency of the route."""
        service_time_s = self._session.latency_estimates.service_time_s(request.route.name)
        return request.arrived_s + request.route.target_latency.total_seconds() - service_time_s

    def _queue(self, request: ClientRequest) -> AdmissionQueue:
        """Return the queue of the owner of the request's key, or else that of the service."""
        session = self._session
        if request.key is not None and self._is_sharded(request.service):
            assignment = session.assignment(request.service, request.key)
            if assignment is not None and assignment.owner is not None:
                return session.admission_queue(request.service, assignment.owner.backend_id)
        return session.admission_queue(request.service)

    def _is_sharded(self, name: str) -> bool:
        configuration = self._session.configuration
        service = configuration.services.get(name) if configuration else None
        return service is not None and service.sharded


def _target_of(backend: Backend) -> Target:
    return Target(backend.id, f"{backend.id}/{backend.incarnation}", backend.host, backend.port)
