"""Exchange load reports, key counts, moves and crash reports with the other daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from fuchsiawell.balance import short_id
from fuchsiawell.gateway.control.last_owners import knows_last_owners
from fuchsiawell.gateway.control.map_messages import MAX_ASSIGNMENTS, NewerAssignments
from fuchsiawell.gateway.control.pace_messages import (
    GroupPaceReport,
    PaceMessage,
    PaceReport,
    TotalPaceReport,
)
from fuchsiawell.gateway.control.peer_messages import (
    AssignmentReplica,
    BlockedRanges,
    ColdPermitReply,
    ColdPermitRequest,
    CrashReport,
    GroupLoadReport,
    KeyCountReport,
    LoadReport,
    MapReply,
    MapRequest,
    Message,
    PermitReply,
    PermitRequest,
    RateLimitReport,
    ReplicaAck,
    ServerColdReport,
    ServerLeavingReport,
    ShardMapUpdate,
    SuspicionCleared,
    TermReport,
    TotalLoadReport,
    WitnessReply,
    WitnessRequest,
    decode_message,
    encode_message,
)
from fuchsiawell.gateway.control.queue_messages import (
    GroupQueuedWorkReport,
    QueuedWorkReport,
    TotalQueuedWorkReport,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from fuchsiawell.gateway.control.peer_messages import LimitMessage
    from fuchsiawell.gateway.control.queue_messages import QueueReport
    from fuchsiawell.gateway.session.state import Peer, Session
    from fuchsiawell.shards import Assignment

__all__ = ["PeerMessenger"]

KEY_REPORT_INTERVAL_S = 0.3
# Messages that cannot be decoded are logged at most once in this time.
UNREADABLE_LOG_INTERVAL_S = 1.0
# How often other daemons are asked for newer assignments, as datagrams may be lost, and the wait
# for the replies after each time.
MAP_REQUESTS, MAP_REPLY_WAIT_S = 2, 0.1


class PeerMessenger(asyncio.DatagramProtocol):
    """Send datagrams to the daemons listed in the store, and apply those received."""

    def __init__(self, session: Session) -> None:
        self._session = session
        self._transport: asyncio.DatagramTransport | None = None
        # Since the last line about such messages: when it was written, and messages left out.
        self._unreadable_logged_s, self._unreadable_count = float("-inf"), 0
        # Replies to this daemon's requests for assignments, by service.
        self._map_replies: dict[str, NewerAssignments] = {}
        self.on_terms: Callable[[str, dict[str, int]], None] | None = None
        self.on_replica_ack: Callable[[str, ReplicaAck], None] | None = None
        self.on_key_report: Callable[[KeyCountReport], None] | None = None
        self.on_load_report: (
            Callable[[str, LoadReport | GroupLoadReport | TotalLoadReport], None] | None
        ) = None
        self.on_limit_message: Callable[[str, LimitMessage], None] | None = None
        self.on_queue_report: Callable[[str, QueueReport], None] | None = None
        self.on_leaving_report: Callable[[str, ServerLeavingReport], None] | None = None
        self.on_pace_report: Callable[[str, PaceMessage], None] | None = None

    async def open(self) -> None:
        """Listen for datagrams."""
        address = self._session.settings.peers
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address.host, address.port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.DatagramTransport", transport)

    def error_received(self, exc: Exception) -> None:
        """Count a send that a host refused; its daemon may have stopped."""
        self._session.metrics.count("peer_send_errors", type(exc).__name__)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Apply a message; log and drop it if it cannot be decoded."""
        try:
            sender, lamport_time, message = decode_message(data)
        except ValueError as error:
            self._log_unreadable(addr[0], error)
            return
        self._session.lamport.merge(lamport_time)
        self._session.record_peer_contact(sender)
        try:
            self._apply(sender, message)
        except Exception as error:
            session = self._session
            session.metrics.count("peer_messages_not_applied", type(message).__name__)
            session.log.warning(
                "peer message not applied",
                step=f"apply {type(message).__name__}",
                peer=addr[0],
                daemon=sender,
                error=repr(error),
            )

    def broadcast(self, message: Message) -> None:
        """Send a message to every other daemon."""
        self.send(self._session.peers_by_name.values(), message)

    def send(self, peers: Collection[Peer], message: Message) -> None:
        """Send a message to the given daemons, which may not receive it."""
        if self._transport is None or not peers:
            return
        data = self._encode(message)
        for peer in peers:
            self._transport.sendto(data, (peer.host, peer.port))

    async def report_key_counts(self) -> None:
        """Report key counts to the granter until cancelled."""
        while True:
            await asyncio.sleep(KEY_REPORT_INTERVAL_S)
            session = self._session
            for service, counter in session.key_counters.items():
                counts = counter.flush()
                if not counts:
                    continue
                report = KeyCountReport(service, counts, self._latency_percent(service))
                granter = session.peers_by_name.get(session.granter or "")
                if session.granter == session.settings.daemon:
                    if self.on_key_report is not None:
                        self.on_key_report(report)
                elif granter is not None:
                    self.send([granter], report)

    async def request_assignments(self, service: str, min_fence: int, era: int) -> NewerAssignments:
        """Return assignments with fences from `min_fence` on that other daemons in touch know.

        They also say whether they have known the last ones of before the store's `era`.
        """
        replies = NewerAssignments()
        self._session.assignment_replicas.refuse_before(service, era)
        if not self._session.peers_by_name:
            return replies
        self._map_replies[service] = replies
        try:
            for _ in range(MAP_REQUESTS):
                self.broadcast(MapRequest(service, min_fence))
                self.broadcast(WitnessRequest(service, era, min_fence))
                await asyncio.sleep(MAP_REPLY_WAIT_S)
        finally:
            self._map_replies.pop(service, None)
        return replies

    def close(self) -> None:
        """Close the socket; later messages are not sent."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def _latency_percent(self, service: str) -> dict[int, int]:
        session = self._session
        return {
            short_id(backend.id): round(100 * factor)
            for backend in session.directory.ready_backends(service)
            if (
                factor := session.latency_estimates.recent_latency_factor(backend.id, session.now_s)
            )
            is not None
        }

    def _log_unreadable(self, peer: str, error: ValueError) -> None:
        """Log a message that cannot be decoded; daemons of another release may send many."""
        session = self._session
        session.metrics.count("peer_messages_unreadable", peer)
        self._unreadable_count += 1
        if session.now_s < self._unreadable_logged_s + UNREADABLE_LOG_INTERVAL_S:
            return
        session.log.warning(
            "peer message unreadable, dropped",
            peer=peer,
            reason=str(error),
            count=self._unreadable_count,
        )
        self._unreadable_logged_s, self._unreadable_count = session.now_s, 0

    def _encode(self, message: Message) -> bytes:
        session = self._session
        return encode_message(session.settings.daemon, session.lamport.tick(), message)

    def _apply(self, sender: str, message: Message) -> None:
        session = self._session
        match message:
            case LoadReport() | GroupLoadReport() | TotalLoadReport():
                if self.on_load_report is not None:
                    self.on_load_report(sender, message)
                if isinstance(message, LoadReport):
                    self._apply_terms(sender, message.terms)
            case TermReport(terms):
                self._apply_terms(sender, terms)
            case KeyCountReport():
                if self.on_key_report is not None:
                    self.on_key_report(message)
            case BlockedRanges(service, ranges):
                session.block_ranges(service, ranges)
            case ShardMapUpdate():
                self._apply_map_update(message)
            case MapRequest(service, min_fence):
                self._reply_with_assignments(sender, service, min_fence)
            case MapReply(service, assignments):
                if service in self._map_replies:
                    self._map_replies[service].add(sender, assignments)
            case WitnessRequest(service, era, min_fence):
                session.assignment_replicas.refuse_before(service, era)
                if knows_last_owners(session, service, era):
                    self._reply_as_witness(sender, service, min_fence)
            case WitnessReply(service, newer):
                if service in self._map_replies:
                    self._map_replies[service].add_witness(sender, newer)
            case AssignmentReplica():
                self._keep_replica(sender, message)
            case ReplicaAck():
                if self.on_replica_ack is not None:
                    self.on_replica_ack(sender, message)
            case CrashReport(fingerprint, incarnation_id):
                session.poison_detector.record_crash(fingerprint, incarnation_id, session.now_s)
            case SuspicionCleared(fingerprint):
                session.poison_detector.clear(fingerprint)
            case (
                RateLimitReport()
                | PermitRequest()
                | PermitReply()
                | ColdPermitRequest()
                | ColdPermitReply()
                | ServerColdReport()
            ):
                if self.on_limit_message is not None:
                    self.on_limit_message(sender, message)
            case ServerLeavingReport():
                if self.on_leaving_report is not None:
                    self.on_leaving_report(sender, message)
            case QueuedWorkReport() | GroupQueuedWorkReport() | TotalQueuedWorkReport():
                if self.on_queue_report is not None:
                    self.on_queue_report(sender, message)
            case PaceReport() | GroupPaceReport() | TotalPaceReport():
                if self.on_pace_report is not None:
                    self.on_pace_report(sender, message)

    def _apply_terms(self, sender: str, terms: dict[str, int]) -> None:
        if terms and self.on_terms is not None:
            self.on_terms(sender, terms)

    def _reply_with_assignments(self, sender: str, service: str, min_fence: int) -> None:
        peer = self._session.peers_by_name.get(sender)
        newer = self._newer_assignments(service, min_fence)
        if peer is None or newer is None:
            return
        for start in range(0, len(newer), MAX_ASSIGNMENTS):
            self.send([peer], MapReply(service, newer[start : start + MAX_ASSIGNMENTS]))

    def _reply_as_witness(self, sender: str, service: str, min_fence: int) -> None:
        peer = self._session.peers_by_name.get(sender)
        newer = self._newer_assignments(service, min_fence)
        if peer is not None and newer is not None:
            self.send([peer], WitnessReply(service, len(newer)))

    def _newer_assignments(self, service: str, min_fence: int) -> list[Assignment] | None:
        session = self._session
        known = session.assignment_replicas.complete(service, session.shard_maps.get(service))
        return None if known is None else [a for a in known.assignments if a.fence >= min_fence]

    def _keep_replica(self, sender: str, replica: AssignmentReplica) -> None:
        session = self._session
        known = session.shard_maps.get(replica.service)
        if not session.assignment_replicas.accept(
            replica.service, replica.era, replica.term, replica.assignments, known
        ):
            return
        peer = session.peers_by_name.get(sender)
        if peer is not None:
            self.send([peer], ReplicaAck(replica.service, replica.term, replica.number))

    def _apply_map_update(self, message: ShardMapUpdate) -> None:
        """Apply newer assignments, each of which has a fencing token of its own, in order.

        If an earlier update was lost, the map keeps its number, so that the store's replaces it.
        """
        session = self._session
        known = session.shard_maps.get(message.service)
        if known is None or known.term != message.term:
            return
        is_complete = known.next_fence >= message.next_fence - len(message.assignments)
        merged = known.merge(
            message.assignments, message.next_fence if is_complete else known.next_fence
        )
        if merged is not None and is_complete:
            session.apply_shard_map(merged, "peer")
        elif merged is not None:
            session.take_map(merged, "peer, incomplete")
        if session.range_blocks.end_announced(message.service, message.assignments):
            session.wake(message.service)
