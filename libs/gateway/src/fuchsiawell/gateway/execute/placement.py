"""Select a server for a request: the owner of its key or the best of the service."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from fuchsiawell.balance import free_capacity
from fuchsiawell.gateway.execute.backend_client import Target
from fuchsiawell.gateway.execute.refusal import Refusal, not_executed

if TYPE_CHECKING:
    from fuchsiawell.balance import AdmissionQueue, QueuedRequest
    from fuchsiawell.gateway.execute.client_request import ClientRequest
    from fuchsiawell.gateway.execute.permit_client import PermitClient
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
# A request that can no longer be on time waits at most this long for a permit.
LATE_PERMIT_WAIT_S = 0.2
# At how many servers a request asks for a permit before it is refused.
MAX_PERMIT_REQUESTS = 3
# Bound of the retry-after time of a request that the limits or rests of servers do not let through.
MAX_KNOWN_RETRY_AFTER_S = 10.0
# A request is refused when less than this part of its usual service time is left.
MIN_TIME_LEFT_FRACTION = 0.9


class Placement:
    """Reserve slots at servers; requests that find none wait in queues, the most urgent first."""

    def __init__(self, session: Session, permits: PermitClient) -> None:
        self._session = session
        self._permits = permits

    async def place(self, request: ClientRequest) -> Target | Refusal | None:
        """Reserve a slot and return its server, or a refusal; the caller releases the slot.

        None if the daemon reaches no server and the request may go through another daemon.
        """
        session = self._session
        started_s = session.now_s
        queued: QueuedRequest | None = None
        waited_since_s: float | None = None
        queue: AdmissionQueue | None = None
        permit_requests = 0
        try:
            while True:
                if session.reachability.cut_off:
                    if request.may_relay:
                        return None
                    if request.order is not None:
                        return not_executed("reaches no server", self.retry_after_s())
                result = self._find_target(request, queued is not None)
                if isinstance(result, Target) and self._is_limited(result):
                    if permit_requests == MAX_PERMIT_REQUESTS:
                        return self._limit_refusal(request)
                    permit_requests += 1
                    if not await self._acquire_permit(request, result):
                        continue
                if isinstance(result, Target):
                    session.in_flight_counts.started(result.backend_id)
                    if session.server_rests.start(result.incarnation_id, session.now_s):
                        result = replace(result, trial=True)
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
        if target.trial:
            self._session.server_rests.finish_trial(target.incarnation_id)
        self._session.wake_for_free_slots()

    def retry_after_s(self, expected_wait_s: float = 0.0) -> float:
        """Return a retry-after time with jitter, so that clients do not all retry together."""
        base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_wait_s))
        return base_s * self._session.random.uniform(0.8, 1.4)

    def retry_after_for(self, request: ClientRequest) -> float:
        """Return the retry-after time of a request, with jitter, after its last attempt."""
        rest_s = self._rest_s(request)
        return self._retry_after_wait_s(rest_s) if rest_s > 0.0 else self.retry_after_s()

    def _find_target(self, request: ClientRequest, was_queued: bool) -> Target | str:
        """Return a server with a free slot, or the reason why there is none."""
        if request.key is not None and self._is_sharded(request.service):
            return self._find_owner(request, request.key, was_queued)
        preferred = self._session.directory.preferred(request.service)
        if not preferred:
            return "no servers"
        backends = self._admitted(preferred)
        if not backends:
            return "server rests"
        limited = self._limited(backends)
        all_limited = len(limited) == len(backends)
        if (
            not was_queued
            and not all_limited
            and len(self._session.admission_queue(request.service))
        ):
            return "no free slot"
        attempted = {backend.id for backend in backends} & request.tried_backends
        avoid = attempted if len(attempted) < len(backends) else set()
        # A limited server is worth a wait for a permit only when no other has free capacity.
        for max_wait_s in (0.0, self._max_permit_wait_s(request)) if limited else (0.0,):
            waiting = {b for b in limited if self._permit_wait_s(b, request) > max_wait_s}
            candidate = self._session.backend_selector.select(
                backends,
                request.route.name,
                request.body.size_bytes,
                self._session.now_s,
                avoid | waiting,
            )
            if candidate is not None:
                return _target_of(candidate.backend)
        return "server limit" if all_limited else "no free slot"

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
        if not session.server_rests.admits(owner.incarnation_id, session.now_s):
            return "server rests"
        own_count = session.in_flight_counts.own_count(owner.backend_id)
        if not session.outlier_detector.admits_owner(owner.backend_id, own_count, session.now_s):
            return "owner unreachable"
        if self._permit_wait_s(owner.backend_id, request) > self._max_permit_wait_s(request):
            return "server limit"
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

    async def _acquire_permit(self, request: ClientRequest, target: Target) -> bool:
        """Get a permit for a limited server; False if it is denied or the target has changed."""
        owned = target.fence != 0
        has_alternative = not owned and any(
            backend.id != target.backend_id
            and free_capacity(backend, self._session.in_flight_counts.total(backend.id)) > 0
            and self._permit_wait_s(backend.id, request) == 0.0
            and self._admits(_target_of(backend))
            for backend in self._session.directory.preferred(request.service)
        )
        wait_s = await self._permits.acquire(
            target.backend_id,
            request.route.priority,
            0.0 if has_alternative else self._max_permit_wait_s(request),
        )
        return wait_s == 0.0 and self._is_current(request, target)

    def _is_current(self, request: ClientRequest, target: Target) -> bool:
        """Return whether a target may still get the request after a wait."""
        session = self._session
        if not self._admits(target):
            return False
        if target.fence:
            assert request.key is not None
            assignment = session.assignment(request.service, request.key)
            return (
                assignment is not None
                and assignment.fence == target.fence
                and session.owner_accepts_requests(target.backend_id)
                and not session.is_blocked(request.service, request.key)
            )
        backend = session.directory.by_id.get(target.backend_id)
        return backend is not None and not backend.draining and _target_of(backend) == target

    def _admits(self, target: Target) -> bool:
        """Return whether a server does not rest, nor gets its first request after a rest."""
        session = self._session
        return session.server_rests.admits(target.incarnation_id, session.now_s)

    def _admitted(self, backends: list[Backend]) -> list[Backend]:
        """Return the servers that do not rest, nor get their first request after a rest."""
        if not len(self._session.server_rests):
            return backends
        return [backend for backend in backends if self._admits(_target_of(backend))]

    def _rest_s(self, request: ClientRequest) -> float:
        """Return the time until a server that may get the request no longer rests."""
        session = self._session
        if request.key is not None and self._is_sharded(request.service):
            assignment = session.assignment(request.service, request.key)
            owner = assignment.owner if assignment is not None else None
            ids = [] if owner is None else [owner.incarnation_id]
        else:
            backends = session.directory.preferred(request.service)
            ids = [_target_of(backend).incarnation_id for backend in backends]
        rests_s = (session.server_rests.remaining_s(i, session.now_s) for i in ids)
        return min(rests_s, default=0.0)

    def _is_limited(self, target: Target) -> bool:
        limits = self._session.rate_limits
        return limits.rate_per_s(target.backend_id, target.incarnation_id) is not None

    def _limited(self, backends: list[Backend]) -> set[str]:
        limited_ids = self._session.rate_limits.limited_ids
        return {
            backend.id
            for backend in backends
            if backend.id in limited_ids and self._is_limited(_target_of(backend))
        }

    def _permit_wait_s(self, backend_id: str, request: ClientRequest) -> float:
        session = self._session
        return session.permit_waits.expected_wait_s(
            backend_id, request.route.priority, session.now_s
        )

    def _max_permit_wait_s(self, request: ClientRequest) -> float:
        """Return how long a permit is worth waiting for."""
        now_s = self._session.now_s
        on_time_s = self._latest_on_time_start_s(request) - now_s
        if on_time_s > 0.0:
            return on_time_s
        return max(0.0, min(LATE_PERMIT_WAIT_S, self._latest_start_s(request) - now_s))

    def _limit_refusal(self, request: ClientRequest) -> Refusal:
        """Return a refusal with the time at which a limited server is expected to take it."""
        session = self._session
        if request.key is not None and self._is_sharded(request.service):
            assignment = session.assignment(request.service, request.key)
            owner = assignment.owner if assignment is not None else None
            ids = [] if owner is None else [owner.backend_id]
        else:
            backends = self._admitted(session.directory.preferred(request.service))
            ids = [backend.id for backend in backends]
        wait_s = min((self._permit_wait_s(i, request) for i in ids), default=0.0)
        return not_executed(
            f"server limit: the next permit is expected in {wait_s:.3f} s",
            self._retry_after_wait_s(wait_s),
        )

    def _retry_after_wait_s(self, wait_s: float) -> float:
        """Return the retry-after time after a known wait; clients return one after the other."""
        base_s = min(MAX_KNOWN_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return base_s * self._session.random.uniform(1.0, 1.4)

    def _early_refusal(
        self, request: ClientRequest, reason: str, started_s: float
    ) -> Refusal | None:
        """Return a refusal if waiting is pointless, None if the request should wait."""
        session = self._session
        now_s = session.now_s
        latest_start_s = self._latest_start_s(request)
        on_time_s = self._latest_on_time_start_s(request) - now_s
        rest_s = self._rest_s(request) if reason == "server rests" else 0.0
        if rest_s > max(0.0, on_time_s):
            return not_executed(f"{reason}: {rest_s:.3f} s left", self._retry_after_wait_s(rest_s))
        if now_s >= latest_start_s:
            return not_executed(
                f"{reason}: not enough time before the deadline", self.retry_after_s()
            )
        match reason:
            case "no servers":
                return not_executed(reason, self.retry_after_s(MAX_RETRY_AFTER_S))
            case "server limit":
                return self._limit_refusal(request)
            case "no free slot":
                is_late = on_time_s < 0.0
                expected_wait_s = self._queue(request).expected_wait_s(
                    request.route.priority, now_s, is_late
                )
                if now_s + expected_wait_s > latest_start_s:
                    return not_executed(
                        f"{reason}: wait of {expected_wait_s:.3f} s leaves too little time",
                        self.retry_after_s(expected_wait_s),
                    )
                return None
            case "server rests" if on_time_s > 0.0:
                # It waits for the end of the rest, or for the first request after it.
                return None
            case _:
                if now_s - started_s > OWNER_WAIT_S:
                    return not_executed(reason, self.retry_after_s(MAX_RETRY_AFTER_S))
                return None

    async def _wait(self, request: ClientRequest, reason: str, woken: asyncio.Event) -> None:
        timeout_s = self._latest_start_s(request) - self._session.now_s
        if reason == "server rests":
            timeout_s = min(timeout_s, self._rest_s(request) or OWNER_WAIT_S)
        elif reason != "no free slot":
            timeout_s = min(timeout_s, OWNER_WAIT_S)
        try:
            async with asyncio.timeout(max(0.001, timeout_s)):
                await woken.wait()
        except TimeoutError:
            return

    def _latest_start_s(self, request: ClientRequest) -> float:
        """Return the latest start time that leaves enough time before the deadline."""
        service_time_s = self._session.latency_estimates.service_time_s(request.route.name)
        return request.deadline_s - MIN_TIME_LEFT_FRACTION * service_time_s

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
