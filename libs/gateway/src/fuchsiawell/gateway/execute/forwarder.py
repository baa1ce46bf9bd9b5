"""The path of a request: route, server, tries, answer."""

from __future__ import annotations

import asyncio
import zlib
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.peer_messages import CrashReport, SuspicionCleared
from fuchsiawell.gateway.execute.outcome import Answer, NotRun, Outcome, Unknown
from fuchsiawell.gateway.execute.refusal import (
    Refusal,
    failed,
    not_executed,
    timed_out,
    unknown_route,
)
from fuchsiawell.gateway.session.state import InFlightRequest
from fuchsiawell.httpio import connect, first_value
from fuchsiawell.routing import Idempotency

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.peers import Peers
    from fuchsiawell.gateway.execute.backend_client import BackendClient, Target
    from fuchsiawell.gateway.execute.body import Body
    from fuchsiawell.gateway.execute.placement import Placement
    from fuchsiawell.gateway.ports import BackendProtocol
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.httpio import RequestHead
    from fuchsiawell.routing import Route

__all__ = ["ClientRequest", "Forwarder"]

# Time a request waits at most when the client gives no deadline; the route's time-out goes before.
DEFAULT_PATIENCE_S = 30.0
# When a daemon without a configuration, or a service without servers, may be tried again.
COME_BACK_S = 0.5
# Time for a grant to arrive after the news of a new holder, in seconds.
GRANT_FLIGHT_S = 0.03
# Longest wait for the connection that shows whether a server is still there, in seconds.
PROBE_S = 0.3
# From this status on an answer says that the server failed: what may repeat is tried again.
SERVER_ERROR = 500
# A try that has less time left than this part of the usual work time is pointless.
LEAST_PART = 0.4


@dataclass
class ClientRequest:
    """A client's request that is being served."""

    head: RequestHead
    request_id: str
    route: Route
    service: str
    key: int | None
    body: Body
    arrived_s: float
    due_s: float
    fingerprint: int
    tried: list[str] = field(default_factory=list)
    # Whether a server may have run it, or may be running it.
    maybe_ran: bool = False
    # How often the holder of the key, under this fence, said that it holds no such key.
    refusals_by_fence: Counter[int] = field(default_factory=Counter)

    @property
    def idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.route.idempotency is Idempotency.IDEMPOTENT


class Forwarder:
    """Serve requests, one call each."""

    def __init__(
        self,
        session: Session,
        protocol: BackendProtocol,
        attempts: BackendClient,
        placing: Placement,
        peers: Peers,
    ) -> None:
        self._session = session
        self._protocol = protocol
        self._attempts = attempts
        self._placing = placing
        self._peers = peers
        self._serial = 0
        self._probes: set[asyncio.Task[None]] = set()

    def accept(self, head: RequestHead, body: Body, now_s: float) -> ClientRequest | Refusal:
        """Find the route and deadline of a request."""
        session = self._session
        configuration = session.configuration
        if configuration is None:
            return not_executed("no configuration yet", COME_BACK_S)
        facts = self._protocol.parse_request(head)
        if facts.request_id is None:
            return Refusal(400, "request without an id")
        host = (first_value(head.fields, b"host") or b"").decode("latin-1").lower()
        path = head.target.split(b"?", 1)[0].decode("latin-1")
        route = configuration.find_route(host.partition(":")[0], path)
        if route is None:
            return unknown_route(f"no route for {host}{path}")
        service = session.dealer.next_service(route)
        patience_s = facts.timeout.total_seconds() if facts.timeout else DEFAULT_PATIENCE_S
        return ClientRequest(
            head=head,
            request_id=facts.request_id,
            route=route,
            service=service,
            key=facts.key,
            body=body,
            arrived_s=now_s,
            due_s=now_s + min(patience_s, route.timeout.total_seconds()),
            fingerprint=0,
        )

    async def serve(self, request: ClientRequest) -> Answer | Refusal:
        """Return the server's answer, or what is true without one."""
        session = self._session
        route = request.route
        request.fingerprint = zlib.crc32(
            request.body.held, zlib.crc32(request.head.target, zlib.crc32(route.host.encode()))
        )
        session.metrics.count("requests", route.name)
        session.budget.record_request(request.service, session.now_s)
        if request.key is not None:
            session.count_key(request.service, request.key)
        if session.suspects.is_poison(request.fingerprint, session.now_s):
            self._log("refused", request, why="crashes servers")
            return not_executed("this request crashes the servers that run it", COME_BACK_S)
        return await self._serve(request)

    async def _serve(self, request: ClientRequest) -> Answer | Refusal:
        """Try until there is an answer; a server's own failure stands if nothing better comes."""
        session = self._session
        last: Outcome | None = None
        failure: Answer | None = None
        while True:
            place = await self._placing.place(request)
            if isinstance(place, Refusal):
                self._log("not placed", request, why=place.reason, tries=len(request.tried))
                if request.maybe_ran:
                    return failure or failed(place.reason)
                return place
            if request.tried and not session.budget.try_acquire(
                request.service, session.daemons, session.now_s
            ):
                self._placing.release(place)
                self._log("no retry", request, why="retry budget", tries=len(request.tried))
                return failure or self._give_up(last, request.maybe_ran)
            request.tried.append(place.backend_id)
            ran_before, request.maybe_ran = request.maybe_ran, True
            last = await self._try(request, place)
            match last:
                case Answer(head, rest=None) if head.status >= SERVER_ERROR and self._may_repeat(
                    request
                ):
                    failure = last
                    self._log(
                        "try failed",
                        request,
                        server=place.backend_id,
                        step="answer",
                        peer=place.peer,
                        why=f"status {head.status}",
                        maybe_ran=True,
                    )
                    continue
                case Answer():
                    if session.suspects.clear(request.fingerprint):
                        self._tell_cleared(request.fingerprint)
                    return last
                case NotRun():
                    request.maybe_ran = ran_before
            self._log(
                "try failed",
                request,
                server=place.backend_id,
                step=last.step,
                peer=last.peer,
                why=last.reason,
                maybe_ran=isinstance(last, Unknown),
            )
            if not self._may_try_again(request, last):
                return failure or self._give_up(last, request.maybe_ran)
            if isinstance(last, NotRun) and last.misdirected:
                # The grant to a new holder may still be on its way.
                request.refusals_by_fence[place.fence] += 1
                await asyncio.sleep(GRANT_FLIGHT_S)

    def _may_try_again(self, request: ClientRequest, last: NotRun | Unknown) -> bool:
        if isinstance(last, Unknown):
            return not last.timed_out and self._may_repeat(request)
        if not request.body.idempotent or len(request.tried) > request.route.max_attempts + 1:
            return False
        return self._has_time(request)

    def _may_repeat(self, request: ClientRequest) -> bool:
        """Whether a request that has run, or may have, may run again."""
        return (
            request.idempotent
            and request.body.idempotent
            and len(request.tried) < request.route.max_attempts
            and self._has_time(request)
        )

    def _has_time(self, request: ClientRequest) -> bool:
        left_s = request.due_s - self._session.now_s
        return left_s > LEAST_PART * self._session.estimates.service_time_s(request.route.name)

    def _give_up(self, last: Outcome | None, maybe_ran: bool) -> Refusal:
        match last:
            case Unknown(timed_out=True):
                return timed_out(last.reason)
            case Unknown() | NotRun() if maybe_ran:
                return failed(last.reason)
            case NotRun():
                return not_executed(last.reason, self._placing.retry_after_s())
            case _:
                return failed("no answer")

    async def _try(self, request: ClientRequest, target: Target) -> Outcome:
        session = self._session
        started_s = session.now_s
        in_flight = session.loads.total(target.backend_id)
        backend = session.directory.by_id.get(target.backend_id)
        slots = backend.slots if backend is not None else 1
        crowding = max(1.0, in_flight / slots)
        service_time_s = session.estimates.service_time_s(request.route.name)
        latency_factor = session.estimates.latency_factor(target.backend_id, started_s)
        self._serial += 1
        serial = self._serial
        session.in_flight[serial] = InFlightRequest(
            target.backend_id,
            target.life,
            request.fingerprint,
            started_s,
            service_time_s * latency_factor * crowding,
        )
        try:
            outcome = await self._attempts.send(
                target,
                request.head,
                request.body,
                request.request_id,
                request.due_s,
                request.idempotent,
            )
        finally:
            del session.in_flight[serial]
            self._placing.release(target)
        took_s = session.now_s - started_s
        session.metrics.observe("backend_time", took_s)
        self._learn(request, target, outcome, crowding, took_s)
        return outcome

    def _learn(
        self,
        request: ClientRequest,
        target: Target,
        outcome: Outcome,
        crowding: float,
        took_s: float,
    ) -> None:
        session = self._session
        match outcome:
            case Answer(head) if head.status < 500:
                session.outliers.record_success(target.backend_id)
                session.estimates.observe(
                    request.route.name, target.backend_id, crowding, took_s, session.now_s
                )
            case NotRun(step="connect", full=False):
                if session.outliers.failed(target.backend_id, session.now_s, unreachable=True):
                    self._log_paused(target, outcome.reason)
            case NotRun(elsewhere=True):
                session.outliers.failed(target.backend_id, session.now_s, unreachable=True)
                self._log_paused(target, "its address belongs to another server")
            case NotRun(misdirected=True):
                return
            case Unknown(timed_out=False):
                self._suspect(request, target)
                if session.outliers.failed(target.backend_id, session.now_s):
                    self._log_paused(target, outcome.reason)
            case _:
                if session.outliers.failed(target.backend_id, session.now_s):
                    self._log_paused(target, "failures in a row")

    def _suspect(self, request: ClientRequest, target: Target) -> None:
        task = asyncio.get_running_loop().create_task(self._note_crash(request, target))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _note_crash(self, request: ClientRequest, target: Target) -> None:
        """Suspect a request whose connection broke, if nobody listens at its server any more.

        Servers that are full break connections too.
        """
        try:
            connection = await connect(target.host, target.port, PROBE_S)
        except ConnectionResetError:
            return
        except OSError:
            self._log("crash suspected", request, server=target.backend_id, peer=target.peer)
            self._session.suspects.record_crash(
                request.fingerprint, target.life, self._session.now_s
            )
            self._peers.broadcast(CrashReport(request.fingerprint, target.life))
            return
        connection.close()

    def _tell_cleared(self, fingerprint: int) -> None:
        self._peers.broadcast(SuspicionCleared(fingerprint))

    def _log_paused(self, target: Target, reason: str) -> None:
        self._session.metrics.count("server_pauses", target.backend_id)
        self._session.log.event(
            "server paused", server=target.backend_id, peer=target.peer, why=reason
        )

    def _log(self, name: str, request: ClientRequest, **fields: object) -> None:
        self._session.requests_log.write(
            name,
            request=request.request_id,
            route=request.route.name,
            service=request.service,
            key=request.key,
            age_ms=round((self._session.now_s - request.arrived_s) * 1000),
            **fields,
        )
