"""Select a server for a request: the owner of its key or the best of the service."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.admission_checks import (
    ZONE_EVACUATED,
    EvacuationCheck,
    RestCheck,
    first_failed,
)
from fuchsiawell.gateway.execute.backend_client import Target, target_of
from fuchsiawell.gateway.execute.bodies_in_flight import LARGE_BODIES, BodiesInFlight, BodyCheck
from fuchsiawell.gateway.execute.class_admission import ClassAdmission
from fuchsiawell.gateway.execute.owner_selection import OwnerSelection
from fuchsiawell.gateway.execute.permit_admission import PermitAdmission
from fuchsiawell.gateway.execute.placement_preview import PlacementPreview
from fuchsiawell.gateway.execute.refusal import Refusal, not_executed
from fuchsiawell.gateway.execute.request_timing import MAX_RETRY_AFTER_S, RequestTiming

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from fuchsiawell.balance import AdmissionQueue, QueuedRequest
    from fuchsiawell.gateway.execute.admission_checks import AdmissionCheck
    from fuchsiawell.gateway.execute.client_request import ClientRequest
    from fuchsiawell.gateway.execute.permit_client import PermitClient
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.routing import Backend

__all__ = ["Placement"]

# A request waits this long for an available owner of its key, and checks at this interval. For a
# range that moves it waits as long as it can be on time, as a release takes up to 3 s.
OWNER_WAIT_S = 0.5
# At how many servers a request asks for a permit before it is refused.
MAX_PERMIT_REQUESTS = 3


class Placement:
    """Reserve slots at servers; requests that find none wait in queues, the most urgent first."""

    def __init__(self, session: Session, permits: PermitClient) -> None:
        self._session = session
        self._timing = RequestTiming(session)
        self.bodies = BodiesInFlight()
        # A server that fails one of them gets no request.
        self._checks: Sequence[AdmissionCheck] = (
            EvacuationCheck(session),
            RestCheck(session),
            BodyCheck(session, self.bodies),
        )
        self._permits = PermitAdmission(session, permits, self._timing)
        self._owners = OwnerSelection(session, self._checks, self._permits)
        self._classes = ClassAdmission(session, self._timing, self._owners)

    async def place(self, request: ClientRequest) -> Target | Refusal | None:
        """Reserve a slot and return its server, or a refusal; the caller releases the slot.

        None if the daemon reaches no server and the request may go through another daemon.
        """
        session = self._session
        started_s = session.now_s
        self._classes.classify(request)
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
                        return not_executed("reaches no server", self._timing.retry_after_s())
                if queued is not None and queue is not None and queue is self._queue(request):
                    refusal = self._classes.queued_refusal(request, queue, queued)
                    if refusal is not None:
                        self._classes.record_refused(request, "no free slot")
                        return refusal
                may_ask = permit_requests < MAX_PERMIT_REQUESTS
                result = self._find_target(request, queued is not None, may_ask)
                if isinstance(result, Target) and self._permits.is_required(result):
                    if not may_ask:
                        return self._limit_refusal(request)
                    permit_requests += 1
                    if not await self._acquire_permit(request, result):
                        continue
                if isinstance(result, Target):
                    session.in_flight_counts.started(result.backend_id)
                    self._classes.record_placed(request, result)
                    if session.server_rests.start(result.incarnation_id, session.now_s):
                        result = replace(result, trial=True)
                    self._queue(request).record_admission(session.now_s, waited_since_s)
                    return result
                refusal = self._early_refusal(request, result, started_s, queued is not None)
                if refusal is not None:
                    self._classes.record_refused(request, result)
                    return refusal
                if result == LARGE_BODIES:
                    # In the queue it would take the turns of requests with short bodies.
                    if queued is not None and queue is not None:
                        queue.remove(queued)
                        queued = None
                    await self._wait_for_bodies(request)
                    continue
                current_queue = self._queue(request)
                if queued is None or queue is not current_queue:
                    if queued is not None and queue is not None:
                        queue.remove(queued)
                    queue, woken = current_queue, asyncio.Event()
                    waited_since_s = session.now_s
                    queued = self._classes.enqueue(request, current_queue, woken.set)
                    if queued is None:
                        return not_executed("admission queue is full", MAX_RETRY_AFTER_S)
                woken.clear()
                if queued.review is not None:
                    queued.review.needs_slot = result == "no free slot"
                current_queue.requeue(queued)
                await self._wait(request, result, woken, started_s)
        finally:
            if queued is not None and queue is not None:
                queue.remove(queued)
            self.bodies.leave(request)

    def preview(self, request: ClientRequest) -> PlacementPreview:
        """Return what would become of a request now; reserves nothing."""
        session = self._session
        request.urgency = session.class_rooms.present_class(request.service, request.route.name)
        needs_owner = self._owners.needs_owner(request)
        if needs_owner:
            owner = self._owners.owner(request)
            candidates = [] if owner is None else [owner.backend_id]
        else:
            candidates = [b.id for b in session.directory.ready_backends(request.service)]
        result: Target | Refusal | str = self._find_target(request, False, True)
        if isinstance(result, str):
            result = self._early_refusal(request, result, session.now_s, is_queued=False) or result
        elif session.reachability.cut_off:
            result = "reaches no server"
        return PlacementPreview(result, needs_owner, candidates, len(self._queue(request)))

    def stopped_by(self, request: ClientRequest, backend: Backend) -> list[str]:
        """Return the reasons for which a server would not get a request now."""
        session, target = self._session, target_of(backend)
        reasons = [
            check.reason
            for check in self._checks
            if check.active and not check.admits(request, target)
        ]
        if backend.draining:
            reasons.append("draining")
        own_count = session.in_flight_counts.own_count(backend.id)
        if not session.outlier_detector.admits(backend.id, own_count, session.now_s):
            reasons.append("ejected")
        room = session.class_rooms.room(request.service, request.urgency)
        if room.free(backend, session.requests_at(backend)) <= 0:
            reasons.append("no free slot")
        if self._permits.is_required(target):
            wait_s = self._permits.wait_s(backend.id, request)
            reasons.append(f"needs a permit, expected in {wait_s:.3f} s")
        return reasons

    def place_alternative(self, request: ClientRequest, avoid: Collection[str]) -> Target | None:
        """Reserve a slot in which work begins at once, None if there is none; never waits.

        Servers that need permits, or that are not known to answer, are not used. The caller
        releases the slot.
        """
        session = self._session
        if session.reachability.cut_off or self._owners.needs_owner(request):
            return None
        backends, _ = self._admitted(session.directory.preferred(request.service), request)
        limited = self._permits.limited(backends)
        candidate = session.backend_selector.select(
            (
                backend
                for backend in backends
                if backend.id not in limited
                and session.requests_at(backend) < max(1, backend.slots)
                and not session.outlier_detector.is_ejected(backend.id)
                and not session.server_rests.named_count(backend.incarnation_id)
            ),
            request.route.name,
            request.body.size_bytes,
            session.now_s,
            avoid,
            target_s=request.route.target_latency.total_seconds(),
        )
        if candidate is None:
            return None
        session.in_flight_counts.started(candidate.backend.id)
        return target_of(candidate.backend)

    def release(self, target: Target) -> None:
        """Release a slot and wake queued requests."""
        self._session.in_flight_counts.finished(target.backend_id)
        if target.trial:
            self._session.server_rests.finish_trial(target.incarnation_id)
        self._session.wake_for_free_slots()

    def retry_after_for(self, request: ClientRequest) -> float:
        """Return the retry-after time of a request, with jitter, after its last attempt."""
        rest_s = self._rest_s(request)
        timing = self._timing
        return timing.retry_after_wait_s(rest_s) if rest_s > 0.0 else timing.retry_after_s()

    def _find_target(self, request: ClientRequest, was_queued: bool, may_ask: bool) -> Target | str:
        """Return a server with a free slot, or the reason why there is none.

        A request that has asked for all its permits gets no cold server while there are others.
        """
        if self._owners.needs_owner(request):
            return self._owners.find(request, was_queued)
        preferred = self._session.directory.preferred(request.service)
        if not preferred:
            directory = self._session.directory
            return (
                ZONE_EVACUATED if directory.is_wholly_evacuated(request.service) else "no servers"
            )
        backends, failed = self._admitted(preferred, request)
        if failed is not None:
            return failed
        if not may_ask and (cold := self._permits.cold(backends)):
            backends = [b for b in backends if b.id not in cold] or backends
        limited = self._permits.limited(backends)
        all_limited = len(limited) == len(backends)
        if not was_queued and not all_limited and self._queue(request).any_ahead(request.urgency):
            return "no free slot"
        attempted = {backend.id for backend in backends} & request.tried_backends
        avoid = attempted if len(attempted) < len(backends) else set()
        room = self._session.class_rooms.room(request.service, request.urgency)
        # A limited server is worth a wait for a permit only when no other has free capacity.
        for max_wait_s in (0.0, self._permits.max_wait_s(request)) if limited else (0.0,):
            waiting = {b for b in limited if self._permits.wait_s(b, request) > max_wait_s}
            candidate = self._session.backend_selector.select(
                backends,
                request.route.name,
                request.body.size_bytes,
                self._session.now_s,
                avoid | waiting,
                room.free,
                request.route.target_latency.total_seconds(),
            )
            if candidate is not None:
                return target_of(candidate.backend)
        return "server limit" if all_limited else "no free slot"

    async def _acquire_permit(self, request: ClientRequest, target: Target) -> bool:
        """Get a permit for a limited server; False if it is denied or the target has changed."""
        owned = target.fence != 0
        room = self._session.class_rooms.room(request.service, request.urgency)
        has_alternative = not owned and any(
            backend.id != target.backend_id
            and room.free(backend, self._session.requests_at(backend)) > 0
            and self._permits.wait_s(backend.id, request) == 0.0
            and first_failed(self._checks, request, target_of(backend)) is None
            for backend in self._session.directory.preferred(request.service)
        )
        acquired = await self._permits.acquire(request, target, has_alternative)
        return acquired and self._is_current(request, target)

    def _is_current(self, request: ClientRequest, target: Target) -> bool:
        """Return whether a target may still get the request after a wait."""
        if first_failed(self._checks, request, target) is not None:
            return False
        if target.fence:
            return self._owners.is_current(request, target)
        backend = self._session.directory.by_id.get(target.backend_id)
        return backend is not None and not backend.draining and target_of(backend) == target

    def _admitted(
        self, backends: list[Backend], request: ClientRequest
    ) -> tuple[list[Backend], str | None]:
        """Return the servers that pass all checks; if none does, why not."""
        failed: str | None = None
        for check in self._checks:
            if check.active:
                backends = [b for b in backends if check.admits(request, target_of(b))]
                if not backends:
                    failed = failed or check.reason
        return backends, failed

    def _rest_s(self, request: ClientRequest) -> float:
        """Return the time until a server that may get the request no longer rests."""
        session = self._session
        if self._owners.needs_owner(request):
            owner = self._owners.owner(request)
            ids = [] if owner is None else [owner.incarnation_id]
        else:
            backends = session.directory.preferred(request.service)
            ids = [backend.incarnation_id for backend in backends]
        rests_s = (session.server_rests.remaining_s(i, session.now_s) for i in ids)
        return min(rests_s, default=0.0)

    def _limit_refusal(self, request: ClientRequest) -> Refusal:
        """Return a refusal with the time at which a limited server is expected to take it."""
        session = self._session
        if self._owners.needs_owner(request):
            owner = self._owners.owner(request)
            servers = [] if owner is None else [(owner.backend_id, owner.incarnation_id)]
        else:
            preferred = session.directory.preferred(request.service)
            backends, _ = self._admitted(preferred, request)
            servers = [(backend.id, backend.incarnation_id) for backend in backends]
        wait_s, first = min(
            ((self._permits.wait_s(server[0], request), server) for server in servers),
            default=(0.0, None),
        )
        is_cold = first is not None and session.cold_servers.is_cold(*first, session.now_s)
        reason = "server is cold" if is_cold else "server limit"
        return not_executed(
            f"{reason}: the next permit is expected in {wait_s:.3f} s",
            self._timing.retry_after_wait_s(wait_s),
        )

    def _early_refusal(
        self, request: ClientRequest, reason: str, started_s: float, is_queued: bool
    ) -> Refusal | None:
        """Return a refusal if waiting is pointless, None if the request should wait."""
        session = self._session
        now_s = session.now_s
        latest_start_s = self._timing.latest_start_s(request)
        on_time_s = self._timing.latest_on_time_start_s(request) - now_s
        rest_s = self._rest_s(request) if reason == "server rests" else 0.0
        if rest_s > max(0.0, on_time_s):
            return not_executed(
                f"{reason}: {rest_s:.3f} s left", self._timing.retry_after_wait_s(rest_s)
            )
        if now_s >= latest_start_s:
            return not_executed(
                f"{reason}: not enough time before the deadline", self._timing.retry_after_s()
            )
        match reason:
            case "no servers":
                return not_executed(reason, self._timing.retry_after_s(MAX_RETRY_AFTER_S))
            case "zone evacuated" if session.directory.is_wholly_evacuated(request.service):
                # Nothing gets a new owner or server until a zone is taken back.
                return not_executed(reason, self._timing.retry_after_s(MAX_RETRY_AFTER_S))
            case "server limit":
                return self._limit_refusal(request)
            case "no free slot":
                return self._classes.wait_refusal(request, self._queue(request), is_queued)
            case reason if reason == LARGE_BODIES:
                return None
            case "server rests" if on_time_s > 0.0:
                # It waits for the end of the rest, or for the first request after it.
                return None
            case "moving" if on_time_s > 0.0:
                return None
            case _:
                if now_s - started_s > OWNER_WAIT_S:
                    return not_executed(reason, self._timing.retry_after_s(MAX_RETRY_AFTER_S))
                return None

    async def _wait(
        self, request: ClientRequest, reason: str, woken: asyncio.Event, started_s: float
    ) -> None:
        now_s = self._session.now_s
        timeout_s = self._timing.latest_start_s(request) - now_s
        if reason == "server rests":
            timeout_s = min(timeout_s, self._rest_s(request) or OWNER_WAIT_S)
        elif reason != "no free slot":
            timeout_s = min(timeout_s, OWNER_WAIT_S)
            if reason == "moving" and now_s - started_s >= OWNER_WAIT_S:
                timeout_s = min(timeout_s, self._timing.latest_on_time_start_s(request) - now_s)
        try:
            async with asyncio.timeout(max(0.001, timeout_s)):
                await woken.wait()
        except TimeoutError:
            return

    async def _wait_for_bodies(self, request: ClientRequest) -> None:
        owner = self._owners.owner(request) if self._owners.needs_owner(request) else None
        timeout_s = self._timing.latest_start_s(request) - self._session.now_s
        await self.bodies.wait(
            request, None if owner is None else owner.backend_id, max(0.001, timeout_s)
        )

    def _queue(self, request: ClientRequest) -> AdmissionQueue:
        """Return the queue of the owner of the request's key, or else that of the service."""
        session = self._session
        if self._owners.needs_owner(request):
            owner = self._owners.owner(request)
            if owner is not None:
                return session.admission_queue(request.service, owner.backend_id)
        return session.admission_queue(request.service)
