"""Bound the bytes of large bodies that one server has for this daemon."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.admission_checks import AdmissionCheck
from fuchsiawell.gateway.execute.held_bytes import USUAL_BODY_BYTES

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.backend_client import Target
    from fuchsiawell.gateway.execute.client_request import ClientRequest
    from fuchsiawell.gateway.session.state import Session

__all__ = ["LARGE_BODIES", "BodiesInFlight", "BodyCheck"]

# Operators match this text.
LARGE_BODIES = "servers have large bodies"
# Four of the longest bodies that are buffered whole, 64 of the usual ones.
MAX_BYTES_PER_SERVER = 4 * 1024 * 1024
# The first request that waits looks for room this often, as a server may have joined; the others,
# of which there may be hundreds, look less often, and when they become the first.
FIRST_RETRY_INTERVAL_S, RETRY_INTERVAL_S = 0.1, 1.0


@dataclass
class _Waiter:
    request: ClientRequest
    # The service, and the owner of the request's key if it has one.
    group: tuple[str, str | None]
    woken: asyncio.Event = field(default_factory=asyncio.Event)


class BodiesInFlight:
    """Count large bodies by server; requests for which there is no room wait in their order."""

    def __init__(self) -> None:
        self._bytes: Counter[str] = Counter()
        self._waiters: list[_Waiter] = []

    def __len__(self) -> int:
        """Return the number of servers that have large bodies."""
        return len(self._bytes)

    def sending(self, target: Target, body_bytes: int) -> _Sending:
        """Return a context manager in which a server has a body."""
        return _Sending(self, target.incarnation_id, body_bytes)

    def has_room(self, request: ClientRequest, target: Target) -> bool:
        """Return whether a server may get the request's body; a single one it may get always."""
        body_bytes = request.body.size_bytes
        in_flight_bytes = self._bytes.get(target.incarnation_id, 0)
        if body_bytes <= USUAL_BODY_BYTES:
            return True
        group = (request.service, target.backend_id if target.fence else None)
        first = self._first(group)
        if first is not None and first.request is not request:
            return False
        return not in_flight_bytes or in_flight_bytes + body_bytes <= MAX_BYTES_PER_SERVER

    async def wait(self, request: ClientRequest, owner_id: str | None, timeout_s: float) -> None:
        """Wait until a server may have room, `timeout_s` at most; `leave` must follow."""
        waiter = self._find(request)
        group = (request.service, owner_id)
        if waiter is None or waiter.group != group:
            self.leave(request)
            waiter = _Waiter(request, group)
            self._waiters.append(waiter)
        waiter.woken.clear()
        is_first = self._first(group) is waiter
        retry_s = FIRST_RETRY_INTERVAL_S if is_first else RETRY_INTERVAL_S
        try:
            async with asyncio.timeout(min(timeout_s, retry_s)):
                await waiter.woken.wait()
        except TimeoutError:
            return

    def leave(self, request: ClientRequest) -> None:
        """Give up the place of a request that waits no longer; the next one may have room."""
        waiter = self._find(request)
        if waiter is not None:
            self._waiters.remove(waiter)
            self._wake()

    def record(self, incarnation_id: str, count: int) -> None:
        """Record that a server has more bytes, or fewer if negative."""
        self._bytes[incarnation_id] += count
        if count < 0:
            if not self._bytes[incarnation_id]:
                del self._bytes[incarnation_id]
            self._wake()

    def _first(self, group: tuple[str, str | None]) -> _Waiter | None:
        return next((w for w in self._waiters if w.group == group), None)

    def _find(self, request: ClientRequest) -> _Waiter | None:
        return next((w for w in self._waiters if w.request is request), None)

    def _wake(self) -> None:
        """Wake the first request of each group."""
        first_by_group: dict[tuple[str, str | None], _Waiter] = {}
        for waiter in self._waiters:
            first_by_group.setdefault(waiter.group, waiter).woken.set()


class _Sending:
    """Counts a body at a server until the end of its `with` block."""

    def __init__(self, bodies: BodiesInFlight, incarnation_id: str, body_bytes: int) -> None:
        self._bodies = bodies
        self._incarnation_id = incarnation_id
        self._body_bytes = body_bytes if body_bytes > USUAL_BODY_BYTES else 0

    def __enter__(self) -> None:
        if self._body_bytes:
            self._bodies.record(self._incarnation_id, self._body_bytes)

    def __exit__(self, *_: object) -> None:
        if self._body_bytes:
            self._bodies.record(self._incarnation_id, -self._body_bytes)


class BodyCheck(AdmissionCheck):
    """A server that has many bytes of large bodies gets no further large ones."""

    reason = LARGE_BODIES

    def __init__(self, session: Session, bodies: BodiesInFlight) -> None:
        self._session = session
        self._bodies = bodies

    def admits(self, request: ClientRequest, target: Target) -> bool:
        return self._bodies.has_room(request, target)

    @property
    def active(self) -> bool:
        return len(self._bodies) > 0 and self._session.settings.memory_mb is not None
