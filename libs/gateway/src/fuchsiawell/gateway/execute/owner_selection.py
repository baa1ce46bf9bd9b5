"""Select the server that owns the key of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.admission_checks import ZONE_EVACUATED, first_failed
from fuchsiawell.gateway.execute.backend_client import Target

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiawell.gateway.execute.admission_checks import AdmissionCheck
    from fuchsiawell.gateway.execute.client_request import ClientRequest
    from fuchsiawell.gateway.execute.permit_admission import PermitAdmission
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.shards import Owner

__all__ = ["OwnerSelection"]

# After this many refusals by the owner of its key a request waits for a new assignment: further
# attempts would only add load.
MAX_REFUSALS_PER_FENCE = 2


class OwnerSelection:
    """Find the owner of a request's key, or the reason why it may not get the request now."""

    def __init__(
        self, session: Session, checks: Sequence[AdmissionCheck], permits: PermitAdmission
    ) -> None:
        self._session = session
        self._checks = checks
        self._permits = permits

    def needs_owner(self, request: ClientRequest) -> bool:
        """Return whether only the owner of the request's key may execute it."""
        configuration = self._session.configuration
        service = configuration.services.get(request.service) if configuration else None
        return request.key is not None and service is not None and service.sharded

    def owner(self, request: ClientRequest) -> Owner | None:
        """Return the owner of the request's key, None if it has none."""
        assert request.key is not None
        assignment = self._session.assignment(request.service, request.key)
        return assignment.owner if assignment is not None else None

    def find(self, request: ClientRequest, was_queued: bool) -> Target | str:
        """Return the owner with a free slot, or the reason why it may not get the request."""
        session = self._session
        assert request.key is not None
        assignment = session.assignment(request.service, request.key)
        if assignment is None or assignment.owner is None:
            wholly_evacuated = session.directory.is_wholly_evacuated(request.service)
            return ZONE_EVACUATED if wholly_evacuated else "no owner"
        if session.is_blocked(request.service, request.key):
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
        target = Target(
            owner.backend_id, owner.incarnation_id, owner.host, owner.port, assignment.fence
        )
        failed = first_failed(self._checks, request, target)
        if failed is not None:
            return failed
        own_count = session.in_flight_counts.own_count(owner.backend_id)
        if not session.outlier_detector.admits_owner(owner.backend_id, own_count, session.now_s):
            return "owner unreachable"
        if self._permits.wait_s(owner.backend_id, request) > self._permits.max_wait_s(request):
            return "server limit"
        queue = session.admission_queue(request.service, owner.backend_id)
        if not was_queued and queue.any_ahead(request.urgency):
            return "no free slot"
        rooms = session.class_rooms
        if (
            backend is not None
            and rooms.free_at_owner(request.service, request.urgency, backend) <= 0
        ):
            return "no free slot"
        return target

    def is_current(self, request: ClientRequest, target: Target) -> bool:
        """Return whether a server still owns the request's key under the same fencing token."""
        session = self._session
        assert request.key is not None
        assignment = session.assignment(request.service, request.key)
        return (
            assignment is not None
            and assignment.fence == target.fence
            and session.owner_accepts_requests(target.backend_id)
            and not session.is_blocked(request.service, request.key)
        )
