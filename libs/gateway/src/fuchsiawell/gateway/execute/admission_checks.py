"""Checks that a server must pass before it gets a request, each for one reason."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiawell.gateway.execute.backend_client import Target
    from fuchsiawell.gateway.execute.client_request import ClientRequest
    from fuchsiawell.gateway.session.state import Session

__all__ = ["ZONE_EVACUATED", "AdmissionCheck", "EvacuationCheck", "RestCheck", "first_failed"]

ZONE_EVACUATED = "zone evacuated"


class AdmissionCheck(ABC):
    """One reason for which a server may not get a request now."""

    # Why a request is not sent, in logs and refusals.
    reason: str

    @abstractmethod
    def admits(self, request: ClientRequest, target: Target) -> bool:
        """Return whether the server may get the request now."""

    @property
    def active(self) -> bool:
        """Return whether the check may fail for any server, so that most requests skip it."""
        return True


class RestCheck(AdmissionCheck):
    """A server that rests gets nothing; the first request after a rest goes alone."""

    reason = "server rests"

    def __init__(self, session: Session) -> None:
        self._session = session

    def admits(self, request: ClientRequest, target: Target) -> bool:
        return self._session.server_rests.admits(target.incarnation_id, self._session.now_s)

    @property
    def active(self) -> bool:
        return len(self._session.server_rests) > 0


class EvacuationCheck(AdmissionCheck):
    """A server of an evacuated zone gets nothing; an owner of keys only while they may move."""

    reason = ZONE_EVACUATED

    def __init__(self, session: Session) -> None:
        self._session = session

    def admits(self, request: ClientRequest, target: Target) -> bool:
        session = self._session
        if not session.directory.is_evacuated(target.backend_id):
            return True
        backend = session.directory.by_id.get(target.backend_id)
        if not target.fence or backend is None:
            return False
        elapsed_s = session.now_s - session.evacuated_zones[backend.zone]
        return elapsed_s < session.settings.evacuating_owner_time.total_seconds()

    @property
    def active(self) -> bool:
        return len(self._session.evacuated_zones) > 0


def first_failed(
    checks: Sequence[AdmissionCheck], request: ClientRequest, target: Target
) -> str | None:
    """Return the reason of the first check that a server fails, None if it passes all."""
    for check in checks:
        if check.active and not check.admits(request, target):
            return check.reason
    return None
