"""Find a server for a request: its keys' holder, or the best of the service; wait for room."""

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

# Bounds of the time after which a refused request may come again, in seconds.
SOONEST_S, LATEST_S = 0.15, 1.0
# Time for which a request whose key has no holder waits for one, in seconds: moves take less.
HOLDER_WAIT_S = 0.5
# After so many refusals by a key's holder a request waits for a new one: asking on would only add
# arrivals.
REFUSALS_PER_FENCE = 2
# A request is refused when it cannot begin this part of its usual work time before it is due.
WORK_PART = 0.9


class Placement:
    """Give requests places at servers, the most urgent first."""

    def __init__(self, session: Session) -> None:
        self._session = session

    async def place(self, request: ClientRequest) -> Target | Refusal:
        """Return a server that has room and count the request there, or a refusal."""
        session = self._session
        entered_s = session.now_s
        waiter: QueuedRequest | None = None
        waited_since_s: float | None = None
        waiting: AdmissionQueue | None = None
        try:
            while True:
                found = self._look(request, waiter is not None)
                if isinstance(found, Target):
                    session.loads.started(found.backend_id)
                    self._list(request).started(session.now_s, waited_since_s)
                    return found
                refusal = self._hopeless(request, found, entered_s)
                if refusal is not None:
                    return refusal
                here = self._list(request)
                if waiter is None or waiting is not here:
                    if waiter is not None and waiting is not None:
                        waiting.remove(waiter)
                    waiting, woken = here, asyncio.Event()
                    waited_since_s = session.now_s
                    waiter = here.enqueue(
                        request.route.priority,
                        request.due_s,
                        self._in_time_until(request),
                        woken.set,
                    )
                    if waiter is None:
                        return not_executed("waiting list is full", LATEST_S)
                woken.clear()
                here.requeue(waiter)
                await self._wait(request, found, woken)
        finally:
            if waiter is not None and waiting is not None:
                waiting.remove(waiter)

    def release(self, target: Target) -> None:
        """Free a place."""
        self._session.loads.finished(target.backend_id)
        self._session.wake_for_free_slots()

    def retry_after_s(self, expected_wait_s: float = 0.0) -> float:
        """Return when a refused request may come again, spread so that not all return together."""
        usual_s = min(LATEST_S, max(SOONEST_S, expected_wait_s))
        return usual_s * self._session.random.uniform(0.8, 1.4)

    def _look(self, request: ClientRequest, waited: bool) -> Target | str:
        if request.key is not None and self._owns_keys(request.service):
            return self._look_holder(request, request.key, waited)
        backends = self._session.directory.preferred(request.service)
        if not backends:
            return "no servers"
        if not waited and len(self._session.waiting(request.service)):
            return "no room"
        avoid = set(request.tried) if len(set(request.tried)) < len(backends) else set()
        candidate = self._session.chooser.select(
            backends, request.route.name, request.body.size, self._session.now_s, avoid
        )
        return "no room" if candidate is None else _target(candidate.backend)

    def _look_holder(self, request: ClientRequest, key: int, waited: bool) -> Target | str:
        session = self._session
        holding = session.holding(request.service, key)
        if holding is None or holding.owner is None:
            return "no holder"
        if session.paused(request.service, key):
            return "moving"
        if request.refusals_by_fence[holding.fence] >= REFUSALS_PER_FENCE:
            return "holder refused"
        owner = holding.owner
        if not session.may_send(owner.backend_id):
            return "holder leaving"
        backend = session.directory.by_id.get(owner.backend_id)
        if backend is not None and backend.born > owner.born:
            return "holder restarted"
        own_count = session.loads.own_count(owner.backend_id)
        if not session.outliers.admits_owner(owner.backend_id, own_count, session.now_s):
            return "holder does not answer"
        if not waited and len(session.waiting(request.service, owner.backend_id)):
            return "no room"
        if (
            backend is not None
            and free_capacity(backend, session.loads.total(owner.backend_id)) <= 0
        ):
            return "no room"
        return Target(owner.backend_id, owner.incarnation_id, owner.host, owner.port, holding.fence)

    def _hopeless(self, request: ClientRequest, why: str, entered_s: float) -> Refusal | None:
        session = self._session
        now_s = session.now_s
        service_time_s = session.estimates.service_time_s(request.route.name)
        latest_s = request.due_s - WORK_PART * service_time_s
        if now_s >= latest_s:
            return not_executed(f"{why}: no time left", self.retry_after_s())
        match why:
            case "no servers":
                return not_executed(why, self.retry_after_s(LATEST_S))
            case "no room":
                late = now_s > self._in_time_until(request)
                expected_wait_s = self._list(request).expected_wait_s(
                    request.route.priority, now_s, late
                )
                if now_s + expected_wait_s > latest_s:
                    return not_executed(
                        f"{why}: wait of {expected_wait_s:.3f} s",
                        self.retry_after_s(expected_wait_s),
                    )
                return None
            case _:
                if now_s - entered_s > HOLDER_WAIT_S:
                    return not_executed(why, self.retry_after_s(LATEST_S))
                return None

    async def _wait(self, request: ClientRequest, why: str, woken: asyncio.Event) -> None:
        service_time_s = self._session.estimates.service_time_s(request.route.name)
        limit_s = request.due_s - WORK_PART * service_time_s - self._session.now_s
        if why != "no room":
            limit_s = min(limit_s, HOLDER_WAIT_S)
        try:
            async with asyncio.timeout(max(0.001, limit_s)):
                await woken.wait()
        except TimeoutError:
            return

    def _in_time_until(self, request: ClientRequest) -> float:
        """Return when the request must start to be answered within its target."""
        service_time_s = self._session.estimates.service_time_s(request.route.name)
        return request.arrived_s + request.route.target_latency.total_seconds() - service_time_s

    def _list(self, request: ClientRequest) -> AdmissionQueue:
        """Return the list for the room that the request needs: its holder's, or the service's."""
        session = self._session
        if request.key is not None and self._owns_keys(request.service):
            holding = session.holding(request.service, request.key)
            if holding is not None and holding.owner is not None:
                return session.waiting(request.service, holding.owner.backend_id)
        return session.waiting(request.service)

    def _owns_keys(self, name: str) -> bool:
        configuration = self._session.configuration
        service = configuration.services.get(name) if configuration else None
        return service is not None and service.sharded


def _target(backend: Backend) -> Target:
    return Target(backend.id, f"{backend.id}/{backend.born}", backend.host, backend.port)
