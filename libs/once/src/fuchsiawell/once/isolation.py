"""Let a suspect wait until its server is empty, and everything else until the suspect is done."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.core import ServerId
    from fuchsiawell.once.suspects import Flight, LossReport, Suspects

__all__ = ["Convicted", "Isolation"]

TIMER_MARGIN_S = 0.1  # a timer may fire a little early by the clock of `Suspects`


@dataclass(frozen=True, slots=True)
class Convicted:
    """Refuse it as not run."""


@dataclass(slots=True, eq=False)
class _Waiter:
    digest: bytes
    turn: asyncio.Future[Flight | Convicted]


class Isolation:
    """Pass requests on to servers in order of arrival, suspects one at a time and alone."""

    def __init__(self, suspects: Suspects) -> None:
        self._suspects = suspects
        self._waiters_by_server: dict[ServerId, deque[_Waiter]] = {}
        self._alone_by_server: dict[ServerId, Flight] = {}

    async def enter(self, server: ServerId, digest: bytes) -> Flight | Convicted:
        """Wait for the request's turn at the server; call it last before the first byte."""
        if server not in self._waiters_by_server:
            admitted = self._admit(server, digest)
            if admitted is not None:
                return admitted
        waiter = _Waiter(digest, asyncio.get_running_loop().create_future())
        self._waiters_by_server.setdefault(server, deque()).append(waiter)
        try:
            return await waiter.turn
        except asyncio.CancelledError:
            self._withdraw(server, waiter)
            raise

    def answered(self, flight: Flight) -> None:
        """Note that the server gave an answer, whole or begun."""
        self._suspects.answered(flight)
        self._left(flight)

    def refused(self, flight: Flight) -> None:
        """Note that the server did not run it, or that nothing was sent."""
        self._suspects.refused(flight)
        self._left(flight)

    def broke(self, flight: Flight) -> None:
        """Note that the exchange ended without an answer.

        After a suspect the server gets nothing until it is found lost or alive.
        """
        self._suspects.broke(flight)
        wait_s = self._suspects.broken_s + TIMER_MARGIN_S
        asyncio.get_running_loop().call_later(wait_s, self._left, flight)
        if not flight.alone:
            self._pump(flight.server)

    def server_alive(self, server: ServerId) -> None:
        """Note that the server answered a probe made after the last broken exchange."""
        self._alone_by_server.pop(server, None)
        self._pump(server)

    def server_lost(self, server: ServerId) -> LossReport:
        """Attribute a crash; pass the report to the other leaders of the cell."""
        report = self._suspects.server_lost(server)
        self._alone_by_server.pop(server, None)
        self._pump(server)
        return report

    def _left(self, flight: Flight) -> None:
        if self._alone_by_server.get(flight.server) is flight:
            del self._alone_by_server[flight.server]
        self._pump(flight.server)

    def _withdraw(self, server: ServerId, waiter: _Waiter) -> None:
        if waiter.turn.done() and not waiter.turn.cancelled():
            flight = waiter.turn.result()
            if not isinstance(flight, Convicted):
                self.refused(flight)
            return
        self._waiters_by_server.get(server, deque()).remove(waiter)
        self._pump(server)

    def _pump(self, server: ServerId) -> None:
        waiters = self._waiters_by_server.get(server)
        while waiters:
            if not waiters[0].turn.done():
                admitted = self._admit(server, waiters[0].digest)
                if admitted is None:
                    return
                waiters[0].turn.set_result(admitted)
            waiters.popleft()
        self._waiters_by_server.pop(server, None)

    def _admit(self, server: ServerId, digest: bytes) -> Flight | Convicted | None:
        if self._suspects.is_convicted(digest):
            return Convicted()
        suspect = self._suspects.is_suspect(digest)
        if server in self._alone_by_server or (suspect and self._suspects.in_flight(server)):
            return None
        flight = self._suspects.started(server, digest)
        if flight.alone:
            self._alone_by_server[server] = flight
        return flight
