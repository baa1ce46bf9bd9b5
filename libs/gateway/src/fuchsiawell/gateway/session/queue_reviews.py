"""Reviews of the queues of owners: requests that can no longer be served in time give up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.balance import OwnerLoad, review_queue

if TYPE_CHECKING:
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.routing import Backend

__all__ = ["review_queues"]


def review_queues(session: Session) -> None:
    """Wake the requests that are too late at the owner of their key, to be refused.

    Only services in which requests of several urgency classes arrive are reviewed.
    """
    for (service, backend_id), queue in session.queues.items():
        if backend_id is None or not len(queue) or not session.class_rooms.differs(service):
            continue
        backend = session.directory.by_id.get(backend_id)
        if backend is not None:
            load = _owner_load(session, service, backend)
            for request in review_queue(queue, load, session.now_s):
                request.wake()


def _owner_load(session: Session, service: str, backend: Backend) -> OwnerLoad:
    is_measured = session.latency_estimates.is_measured
    routes = session.class_rooms.classes(service).class_by_route
    return OwnerLoad(
        session.in_flight_counts.total(backend.id),
        # The initial service time of a route without responses may be far too long.
        session.class_rooms.mean_work_s(service) if all(map(is_measured, routes)) else 0.0,
        backend.slots,
        session.latency_estimates.latency_factor(backend.id, session.now_s),
        session.queued_work.others_ms(backend.id),
    )
