"""Send requests through other daemons while this one reaches no server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.balance import RelayCandidate, RelaySelector
from fuchsiawell.gateway.execute.outcome import NotExecuted, OutcomeUnknown, Response
from fuchsiawell.gateway.execute.refusal import Refusal, not_executed
from fuchsiawell.gateway.execute.relay_messages import RelayAnswer, RelayOrder

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.leaving_tracker import LeavingTracker
    from fuchsiawell.gateway.control.limit_tracker import LimitTracker
    from fuchsiawell.gateway.execute.client_request import ClientRequest
    from fuchsiawell.gateway.execute.relay_client import RelayClient, RelayOutcome
    from fuchsiawell.gateway.execute.relay_messages import RelayReply
    from fuchsiawell.gateway.ports import BackendProtocol
    from fuchsiawell.gateway.session.state import Peer, Session

__all__ = ["Relaying"]

# How many daemons a request asks at most, until one takes it.
MAX_RELAYS_ASKED = 6
# For how long a daemon is not asked after it said that it is of no use now, after it was lost with
# a request, and after it could not be connected to, as those of an earlier release.
UNAVAILABLE_S, LOST_S, UNREACHABLE_S = 2.0, 2.0, 5.0
# For how long a request waits for daemons whose configuration is older than needed, and how often
# it asks them: a new version reaches them a moment after the first one.
OUTDATED_WAIT_S, OUTDATED_INTERVAL_S = 0.6, 0.1
# A daemon that has not answered for this long, and for this many times the usual service time, is
# asked only if no other is left.
SILENT_S, OVERDUE_FACTOR = 1.0, 2.5
BAD_GATEWAY = 502
# Attempted servers that a relay is told of.
MAX_NAMED_SERVERS = 8
# For clients of requests whose bodies cannot be sent again, before jitter.
RETRY_AFTER_S = 0.25


class Relaying:
    """Choose daemons that reach servers, and let them serve the requests of clients of this one."""

    def __init__(
        self,
        session: Session,
        client: RelayClient,
        protocol: BackendProtocol,
        limit_tracker: LimitTracker,
        leaving_tracker: LeavingTracker,
    ) -> None:
        self._session = session
        self._client = client
        self._protocol = protocol
        self._limit_tracker = limit_tracker
        self._leaving_tracker = leaving_tracker
        self._selector = RelaySelector(session.settings.zone, session.random)
        self._peers_version = -1
        # Highest version of the configuration that a relay has shown; it must not go back.
        self._shown_version = 0

    def is_due(self, request: ClientRequest) -> bool:
        """Return whether a request is to be sent through another daemon now.

        Also after the cut until this daemon has the configuration that relays have shown to its
        clients.
        """
        return request.may_relay and (self._session.reachability.cut_off or self._is_behind)

    @property
    def _is_behind(self) -> bool:
        return self._version < self._shown_version

    @property
    def _version(self) -> int:
        configuration = self._session.configuration
        return configuration.version if configuration else 0

    async def send(self, request: ClientRequest) -> Response | Refusal | OutcomeUnknown | None:
        """Return the answer of a relay, or how it was lost.

        None if no daemon has taken the request, and none is left to be asked: no hop executed it.
        """
        session = self._session
        asked: set[str] = set()
        # Of those asked, the daemons that will soon have the configuration that is needed.
        outdated: set[str] = set()
        wait_until_s = min(session.now_s + OUTDATED_WAIT_S, request.deadline_s)
        while session.now_s < request.deadline_s:
            relay = self._select(asked) if len(asked) < MAX_RELAYS_ASKED else None
            if relay is None:
                if not outdated or session.now_s >= wait_until_s:
                    break
                await asyncio.sleep(OUTDATED_INTERVAL_S)
                asked -= outdated
                outdated.clear()
                continue
            asked.add(relay.name)
            outcome, reply = await self._ask(relay, request)
            if not isinstance(outcome, NotExecuted):
                return outcome
            if not request.body.replayable:
                return not_executed(outcome.reason, self._retry_after_s())
            if reply is not None and reply.answer is RelayAnswer.OUTDATED:
                outdated.add(relay.name)
        request.may_relay = False
        self._log("no relay", request, asked=sorted(asked), peers=len(session.peers_by_name))
        return None

    def _retry_after_s(self) -> float:
        return RETRY_AFTER_S * self._session.random.uniform(0.8, 1.4)

    async def _ask(
        self, relay: Peer, request: ClientRequest
    ) -> tuple[RelayOutcome, RelayReply | None]:
        session = self._session
        order = self._order(request)
        sent_s = session.now_s
        session.metrics.count("hops_sent", relay.name)
        maybe_executed_before, request.maybe_executed = request.maybe_executed, True
        service_time_s = session.latency_estimates.service_time_s(request.route.name)
        silence = asyncio.get_running_loop().call_later(
            max(SILENT_S, OVERDUE_FACTOR * service_time_s), self._avoid_silent, relay.name, sent_s
        )
        try:
            outcome, reply = await self._client.send(relay, request, order)
        finally:
            silence.cancel()
        if reply is not None:
            self._shown_version = max(self._shown_version, reply.version)
        now_s = session.now_s
        if isinstance(outcome, OutcomeUnknown) and outcome.timed_out:
            # The server may be slow.
            self._selector.record_doubtful(relay.name, sent_s, now_s, LOST_S)
        elif reply is None:
            avoid_s = UNREACHABLE_S if isinstance(outcome, NotExecuted) else LOST_S
            self._selector.record_unavailable(relay.name, now_s, avoid_s)
        elif reply.answer is RelayAnswer.UNAVAILABLE:
            self._selector.record_unavailable(relay.name, now_s, UNAVAILABLE_S)
        elif reply.answer is RelayAnswer.OUTDATED:
            self._selector.record_doubtful(relay.name, now_s, now_s, UNAVAILABLE_S)
        else:
            self._selector.record_served(relay.name, now_s)
        if isinstance(outcome, Refusal) and outcome.status == BAD_GATEWAY:
            # Another attempt may follow if any is left.
            outcome = OutcomeUnknown("server", str(relay.name), outcome.reason)
        match outcome:
            case NotExecuted():
                request.maybe_executed = maybe_executed_before
                if reply is not None and reply.attempted:
                    self._record_attempts(request, order, reply)
                self._log_failed(request, relay, outcome)
            case OutcomeUnknown():
                self._record_attempts(request, order, reply)
                self._log_failed(request, relay, outcome)
            case Response():
                assert reply is not None
                self._record_attempts(request, order, reply)
                self._record_server(reply, outcome, sent_s)
            case refusal:
                if refusal.retry_after is not None:
                    request.maybe_executed = maybe_executed_before
                self._log(
                    "hop refused",
                    request,
                    relay=relay.name,
                    status=refusal.status,
                    why=refusal.reason,
                )
        session.metrics.observe("hop_time", now_s - sent_s)
        return outcome, reply

    def _record_attempts(
        self, request: ClientRequest, order: RelayOrder, reply: RelayReply | None
    ) -> None:
        """Record the attempts that a relay has made, or may have made if its answer was lost."""
        if reply is None:
            request.relayed_attempts += order.max_attempts
        else:
            request.attempted_backends += reply.attempted
        request.reached_server = request.counted = True

    def _avoid_silent(self, name: str, sent_s: float) -> None:
        """Prefer other daemons to one that has not answered a request for long."""
        self._selector.record_doubtful(name, sent_s, self._session.now_s, LOST_S)
        self._session.metrics.count("hops_silent", name)

    def _order(self, request: ClientRequest) -> RelayOrder:
        session = self._session
        return RelayOrder(
            version=self._version,
            min_version=max(self._version, self._shown_version),
            service=request.service,
            # One attempt is kept, if possible, for the case that the relay is lost.
            max_attempts=max(1, request.route.max_attempts - request.attempts - 1),
            age_ms=round((session.now_s - request.arrived_s) * 1000),
            counted=request.counted,
            attempted=tuple(request.attempted_backends[-MAX_NAMED_SERVERS:]),
        )

    def _select(self, asked: set[str]) -> Peer | None:
        session = self._session
        if self._peers_version != session.peers_version:
            self._peers_version = session.peers_version
            self._selector.set_candidates(
                [
                    RelayCandidate(peer.name, peer.zone, peer.capacity_cores)
                    for peer in session.peers_by_name.values()
                ]
            )
        name = self._selector.select(asked, session.now_s)
        return None if name is None else session.peers_by_name.get(name)

    def _record_server(self, reply: RelayReply, response: Response, sent_s: float) -> None:
        """Record what the server's response says of its limit and of leaving."""
        if reply.answer is not RelayAnswer.SERVED or not reply.server:
            return
        metadata = self._protocol.parse_response(response.head)
        server = reply.server, reply.incarnation
        self._limit_tracker.record_response(*server, metadata, sent_s)
        self._leaving_tracker.record_response(*server, metadata)

    def _log_failed(
        self, request: ClientRequest, relay: Peer, outcome: NotExecuted | OutcomeUnknown
    ) -> None:
        self._session.metrics.count("hops_failed", outcome.step)
        self._log(
            "hop failed",
            request,
            relay=relay.name,
            peer=outcome.peer,
            step=outcome.step,
            why=outcome.reason,
            maybe_ran=isinstance(outcome, OutcomeUnknown),
        )

    def _log(self, name: str, request: ClientRequest, **fields: object) -> None:
        self._session.request_log.write(
            name,
            request=request.request_id,
            route=request.route.name,
            service=request.service,
            age_ms=round((self._session.now_s - request.arrived_s) * 1000),
            **fields,
        )
