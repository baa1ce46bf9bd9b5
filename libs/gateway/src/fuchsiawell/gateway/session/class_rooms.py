"""Urgency classes of the services of the active configuration, their demand and their room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.balance import (
    FULL_ROOM,
    ClassDemand,
    ClassRoom,
    RoomShares,
    UrgencyClasses,
    short_id,
    urgency_classes,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.routing import Backend, Configuration

__all__ = ["ClassRooms", "class_label"]

ONE_CLASS = UrgencyClasses({}, 1)


def class_label(service: str, urgency: int) -> str:
    """Return the label of a class in metrics."""
    return f"{service} {urgency}"


class ClassRooms:
    """How many requests of each urgency class the servers may have in flight."""

    def __init__(self, session: Session) -> None:
        self._session = session
        self._configuration: Configuration | None = None
        self._classes_by_service: dict[str, UrgencyClasses] = {}
        self._demand_by_service: dict[str, ClassDemand] = {}
        self._shares = RoomShares(session.random)

    def classes(self, service: str) -> UrgencyClasses:
        """Return the urgency classes of a service in the active configuration."""
        configuration = self._session.configuration
        if configuration is None:
            return ONE_CLASS
        if configuration is not self._configuration:
            self._configuration = configuration
            self._classes_by_service.clear()
            for service_name in self._demand_by_service.keys() - configuration.services.keys():
                del self._demand_by_service[service_name]
        classes = self._classes_by_service.get(service)
        if classes is None:
            classes = urgency_classes(service, configuration.routes)
            self._classes_by_service[service] = classes
        return classes

    def differs(self, service: str) -> bool:
        """Return whether requests of several classes for a service arrive here.

        A route without requests changes nothing for the others of its service.
        """
        if self.classes(service).count == 1:
            return False
        demand = self._demand_by_service.get(service)
        return demand is not None and demand.count_present(self._session.now_s) > 1

    def class_of(self, service: str, route: str) -> int:
        """Return the urgency class of a route at a service; 0 is the most urgent."""
        return self.classes(service).class_of(route)

    def present_class(self, service: str, route: str) -> int:
        """Return the urgency class of a route; 0 while requests of no other class arrive."""
        return self.class_of(service, route) if self.differs(service) else 0

    def record_request(self, service: str, route: str) -> None:
        """Record the arrival of a request."""
        classes = self.classes(service)
        if classes.count > 1:
            work_s = self._session.latency_estimates.service_time_s(route)
            demand = self._demand_by_service.setdefault(service, ClassDemand())
            demand.record(classes.class_of(route), work_s, self._session.now_s)

    def mean_work_s(self, service: str) -> float:
        """Return the mean work of the recent requests for a service."""
        demand = self._demand_by_service.get(service)
        return 0.0 if demand is None else demand.mean_work_s(self._session.now_s)

    def free_at_owner(self, service: str, urgency: int, backend: Backend) -> int:
        """Return how many requests of a class this daemon may send to an owner of keys."""
        session = self._session
        room = self.room(service, urgency)
        free = room.free(backend, session.requests_at(backend))
        if room is FULL_ROOM or free <= 0:
            return free
        others_ms = sum(session.queued_work.others_ms(backend.id)[urgency : urgency + 1])
        queued_ms = session.admission_queue(service, backend.id).work_ms(urgency + 1)[urgency]
        mean_work_s = self._demand_by_service[service].mean_work_s(session.now_s, urgency)
        own_ms = max(queued_ms, round(1000 * mean_work_s), 1)
        return self._shares.allowed(backend.id, urgency, free, own_ms, others_ms, session.now_s)

    def record_admission(self, urgency: int, backend_id: str) -> None:
        """Record that a request of a class is sent to a server."""
        self._shares.record_admission(backend_id, urgency)

    def free_by_class(
        self, service: str, backends: Sequence[Backend], waiting: int, owned: bool
    ) -> list[int]:
        """Return how many requests of each class the servers have room for, up to `waiting`."""
        session = self._session
        totals = []
        for urgency in range(self.classes(service).count):
            room, total = self.room(service, urgency), 0
            for backend in backends:
                if owned:
                    free = self.free_at_owner(service, urgency, backend)
                else:
                    free = room.free(backend, session.requests_at(backend))
                total += session.server_rests.free_capacity(
                    backend.incarnation_id, session.now_s, max(0, free)
                )
                if total >= waiting:
                    break
            totals.append(total)
        return totals

    def own_queued_work(self) -> dict[int, list[int]]:
        """Return the work that waits here for owners of keys, by short id and class."""
        return {
            short_id(backend_id): queue.work_ms(self.classes(service).count)
            for (service, backend_id), queue in self._session.queues.items()
            if backend_id is not None and len(queue) and self.differs(service)
        }

    def gauges(self) -> dict[str, float]:
        """Return the metrics of arriving, in-flight and queued requests by class."""
        session = self._session
        gauges: dict[str, float] = {}
        for service in session.configuration.services if session.configuration else ():
            for urgency in range(self.classes(service).count if self.differs(service) else 0):
                demand = self._demand_by_service.get(service)
                rate_per_s = demand.rate_per_s(urgency, session.now_s) if demand else 0.0
                gauges[_gauge("class_requests_per_s", service, urgency)] = round(rate_per_s, 1)
                for name in ("class_in_flight", "class_queued"):
                    gauges[_gauge(name, service, urgency)] = 0
        for request in session.in_flight.values():
            name = _gauge(
                "class_in_flight", request.service, self.class_of(request.service, request.route)
            )
            if name in gauges:
                gauges[name] += 1
        for (service, _), queue in session.queues.items():
            for urgency in range(self.classes(service).count):
                name = _gauge("class_queued", service, urgency)
                if name in gauges:
                    gauges[name] += queue.count(urgency)
        return gauges

    def room(self, service: str, urgency: int) -> ClassRoom:
        """Return the room of a class at a server, if other daemons get as many requests as this."""
        session = self._session
        demand = self._demand_by_service.get(service)
        if demand is None or not demand.any_above(urgency, session.now_s):
            return FULL_ROOM
        busy = demand.busy_above(urgency, session.now_s) * session.daemon_count
        return ClassRoom(busy / max(1, len(session.directory.ready_backends(service))))


def _gauge(name: str, service: str, urgency: int) -> str:
    return f'{name}{{label="{class_label(service, urgency)}"}}'
