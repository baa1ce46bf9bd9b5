"""State of one daemon: configuration, backend servers, peers, queues, requests in flight."""

from __future__ import annotations

from dataclasses import asdict, replace
from functools import partial
from typing import TYPE_CHECKING

from fuchsiawell.balance import (
    AdmissionQueue,
    BackendSelector,
    ColdServers,
    InFlightCounts,
    LatencyEstimates,
    OutlierDetector,
    PermitWaits,
    PoisonRequestDetector,
    QueuedWork,
    RateLimits,
    Reachability,
    ResponseSizes,
    RetryBudget,
    SecondAttempts,
    ServerLoads,
    ServerOccupancy,
    ServerRests,
)
from fuchsiawell.gateway.session.assignment_replicas import AssignmentReplicas
from fuchsiawell.gateway.session.class_rooms import ClassRooms
from fuchsiawell.gateway.session.cold_entries import (
    cold_bound,
    record_cold_entry,
    warm_spread_s,
)
from fuchsiawell.gateway.session.era_knowledge import EraKnowledge
from fuchsiawell.gateway.session.metrics import Metrics
from fuchsiawell.gateway.session.peer import Peer
from fuchsiawell.gateway.session.range_blocks import RangeBlocks
from fuchsiawell.gateway.session.request_log import RequestLog
from fuchsiawell.routing import (
    BackendDirectory,
    EvacuatedZones,
    LeavingServers,
    TrafficSplitter,
)
from fuchsiawell.shards import KeyCounter, KeyWork

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from fuchsiawell.core import Clock, EventLog, LamportClock
    from fuchsiawell.gateway.config.settings import Settings
    from fuchsiawell.gateway.session.in_flight_request import InFlightRequest
    from fuchsiawell.routing import Backend, Configuration
    from fuchsiawell.shards import Assignment, ShardMap

__all__ = ["Peer", "Session"]

# Part of the drain time for which a draining owner of keys still gets requests, counted from when
# this daemon learns of the drain: that may be late by 0.6 of the drain time (max_store_age).
DRAINING_OWNER_FRACTION = 0.3
# A daemon whose entry has expired is removed when not heard from for this long; a daemon with any
# load sends a report twice a second.
PEER_TIMEOUT_S = 3.0
# A restarted server may answer requests this long before its new entry is in the store.
MAX_ENTRY_DELAY_S = 1.2
# Settings that take effect only after a restart.
RESTART_ONLY_SETTINGS = ("daemon", "zone", "host", "clients", "readiness", "peers", "metrics")
# Link bandwidth that counts as one core of capacity for work on behalf of other daemons: a hub of
# 24 daemons sends about 3 Mbit/s at about a fifth of a core, and requests need most of both.
LINK_MBIT_S_PER_CORE = 40.0


class Session:
    """State of the daemon: written by the control loops, read when a request is forwarded."""

    def __init__(
        self,
        settings: Settings,
        start_id: str,
        clock: Clock,
        random: Random,
        log: EventLog,
        lamport: LamportClock,
    ) -> None:
        self.settings = settings
        self.start_id = start_id
        self.clock = clock
        self.random = random
        self.log = log
        # Orders log events of all daemons, so that `timeline` can merge their logs.
        self.lamport = lamport
        self.request_log = RequestLog(log, clock)
        self.metrics = Metrics()
        self.configuration: Configuration | None = None
        self.evacuated_zones = EvacuatedZones()
        self.directory = BackendDirectory(self.evacuated_zones)
        self.leaving_servers = LeavingServers()
        self.shard_maps: dict[str, ShardMap] = {}
        self.assignment_replicas = AssignmentReplicas()
        self.peers_by_name: dict[str, Peer] = {}
        # Increases with each change of the peers.
        self.peers_version = 0
        # When they last changed; others may learn of a change later.
        self.peers_changed_s = clock.monotonic()
        # Peers whose entries have expired; they may still run, disconnected from the store.
        self._expired_peers: set[str] = set()
        self._last_contact_s: dict[str, float] = {}
        self.granter: str | None = None
        # Terms in which this daemon grants the keys of services itself.
        self.granting_terms: dict[str, int] = {}
        self.stopping = False
        # When a planned stop ends the requests that are still in flight; None before a stop.
        self.requests_end_s: float | None = None
        # Monotonic time until which this daemon knows all changes of the store, as far as it can
        # tell; its start until it knows any.
        self.current_until_s = clock.monotonic()
        self.era_knowledge = EraKnowledge()
        self.latency_estimates = LatencyEstimates()
        self.response_sizes = ResponseSizes()
        self.outlier_detector = OutlierDetector()
        self.reachability = Reachability()
        self.in_flight_counts = InFlightCounts()
        self.server_loads = ServerLoads()
        self.occupancy = ServerOccupancy(self.in_flight_counts, self.server_loads)
        self.rate_limits = RateLimits()
        self.permit_waits = PermitWaits()
        self.server_rests = ServerRests()
        self.cold_servers = ColdServers(partial(cold_bound, self), warm_spread_s(settings.daemon))
        self.poison_detector = PoisonRequestDetector()
        self.traffic_splitter = TrafficSplitter(random)
        self.retry_budget = RetryBudget(settings.retries)
        self.class_rooms = ClassRooms(self)
        self.second_attempts = SecondAttempts(settings.second_attempts)
        self.queued_work = QueuedWork()
        self.key_counters: dict[str, KeyCounter] = {}
        self.key_work = KeyWork(random)
        self.backend_selector = BackendSelector(
            settings.zone,
            self.latency_estimates,
            self.in_flight_counts,
            self.outlier_detector,
            random,
            self.server_loads,
            self.response_sizes,
        )
        self.in_flight: dict[int, InFlightRequest] = {}
        self._queues: dict[tuple[str, str | None], AdmissionQueue] = {}
        self.range_blocks = RangeBlocks()
        self._drain_started_s: dict[str, float] = {}

    @property
    def now_s(self) -> float:
        return self.clock.monotonic()

    @property
    def store_age_s(self) -> float:
        """Return the time since the store last confirmed what this daemon knows."""
        return self.now_s - self.current_until_s

    @property
    def local_peer(self) -> Peer:
        """Return the entry of this daemon for the other daemons."""
        settings = self.settings
        return Peer(
            settings.daemon,
            self.start_id,
            settings.peers.host,
            settings.peers.port,
            settings.zone,
            min(settings.cores, settings.link_mbit_s / LINK_MBIT_S_PER_CORE),
        )

    @property
    def daemon_count(self) -> int:
        """Return the number of daemons, including this one."""
        return len(self.peers_by_name) + 1

    @property
    def ready(self) -> bool:
        """Return whether clients may be sent here: it can serve and is not stopping."""
        return not self.stopping and self.configuration is not None and bool(self.directory.by_id)

    def apply_settings(self, settings: Settings) -> None:
        """Apply changed settings, except for identity and addresses, which need a restart."""
        current = {name: getattr(self.settings, name) for name in RESTART_ONLY_SETTINGS}
        differing = [name for name, value in current.items() if getattr(settings, name) != value]
        if differing:
            self.log.warning("settings need a restart", fields=differing)
        if settings.second_attempts != self.settings.second_attempts:
            self.log.event("second attempts set", **asdict(settings.second_attempts))
        self.settings = replace(settings, **current)
        self.retry_budget.rules = settings.retries
        self.second_attempts.rules = settings.second_attempts
        self.log.event("settings reloaded")

    @property
    def queues(self) -> Mapping[tuple[str, str | None], AdmissionQueue]:
        """Return all queues by service and owner of keys; the owner is None for the service's."""
        return self._queues

    def admission_queue(self, service: str, backend_id: str | None = None) -> AdmissionQueue:
        """Return the queue of a service, or that of the owner `backend_id` of a key range."""
        key = (service, backend_id)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = AdmissionQueue()
        return queue

    def wake(self, service: str | None = None) -> None:
        """Wake all queued requests, or those of a service, to retry placement after a change."""
        for (name, _), queue in self._queues.items():
            if service is None or name == service:
                queue.wake(len(queue), self.now_s)

    def wake_for_free_slots(self) -> None:
        """Wake as many queued requests of each urgency class as there is room for."""
        for (service, backend_id), queue in self._queues.items():
            if not len(queue):
                continue
            if backend_id is None:
                backends = self.directory.ready_backends(service)
            else:
                backend = self.directory.by_id.get(backend_id)
                backends = [] if backend is None else [backend]
            backends = [b for b in backends if not self.permit_waits.is_waiting(b.id, self.now_s)]
            free_by_class = self.class_rooms.free_by_class(
                service, backends, len(queue), backend_id is not None
            )
            queue.wake_by_class(free_by_class, self.now_s)

    def requests_at(self, backend: Backend) -> int:
        """Return the requests in flight at a server, by reports and by its own word."""
        return self.occupancy.total(backend.id, backend.incarnation_id, self.now_s)

    def remove_stale_queues(self) -> None:
        """Remove empty queues of servers that are no longer listed."""
        stale = [
            key
            for key, queue in self._queues.items()
            if key[1] is not None and key[1] not in self.directory.by_id and not len(queue)
        ]
        for key in stale:
            del self._queues[key]

    def update_backend(self, backend: Backend, unconfirmed_s: float = 0.0) -> None:
        """Add a server or apply its changed entry; a new incarnation resets its statistics.

        `unconfirmed_s` is the age of this daemon's knowledge just before the entry arrived.
        """
        known = self.directory.by_id.get(backend.id)
        if known is not None and known.incarnation != backend.incarnation:
            self.discard_backend_history(backend.id)
        is_new = known is None or known.incarnation != backend.incarnation
        if is_new:
            self.server_rests.restart(
                backend.id,
                backend.incarnation_id,
                self.now_s - unconfirmed_s - MAX_ENTRY_DELAY_S,
                self.now_s,
            )
        if backend.draining:
            self.leaving_servers.record(backend.incarnation_id, self.now_s)
        leaving_since_s = self.leaving_servers.since_s(backend.incarnation_id)
        if leaving_since_s is None:
            self._drain_started_s.pop(backend.id, None)
        else:
            backend = replace(backend, draining=True)
            self._drain_started_s[backend.id] = leaving_since_s
            if known is None or not known.draining:
                self.log.event("backend draining", server=backend.id, service=backend.service)
        if known is None:
            self.log.event(
                "backend joined", server=backend.id, service=backend.service, peer=backend.peer
            )
        self.directory.upsert(backend, self.now_s)
        record_cold_entry(self, backend, is_new)
        self.wake(backend.service)

    def record_leaving(
        self, backend_id: str, incarnation_id: str, source: str, since_s: float | None = None
    ) -> bool:
        """Treat a server incarnation as draining, for good; return whether that was not known.

        It leaves since `since_s`, or since now.
        """
        since_s = self.now_s if since_s is None else since_s
        if not self.leaving_servers.record(incarnation_id, since_s):
            return False
        self.log.event(
            "server leaving", server=backend_id, incarnation=incarnation_id, source=source
        )
        backend = self.directory.by_id.get(backend_id)
        if backend is not None and backend.incarnation_id == incarnation_id:
            self._drain_started_s.setdefault(backend_id, since_s)
            self.directory.mark_draining(backend_id)
            self.wake(backend.service)
        return True

    def remove_backend(self, backend_id: str) -> None:
        """Handle the removal of a server's entry; the directory may keep the server for a while."""
        if backend_id not in self.directory.by_id:
            return
        self._drain_started_s.setdefault(backend_id, self.now_s)
        self.directory.remove(backend_id, self.now_s)
        if backend_id not in self.directory.by_id:
            self.log.event("backend gone", server=backend_id, why="entry removed")
        else:
            self.log.event("backend missing", server=backend_id, why="store was in trouble")

    def discard_backend_history(self, backend_id: str) -> None:
        """Discard latency, failures and rate limit of an earlier incarnation."""
        self.latency_estimates.forget(backend_id)
        self.outlier_detector.forget(backend_id)
        self.reachability.forget(backend_id)
        self.rate_limits.forget(backend_id)
        self.permit_waits.forget(backend_id)

    def owner_accepts_requests(self, backend_id: str) -> bool:
        """Return whether an owner may get requests: it is ready, or has just begun to leave."""
        backend = self.directory.by_id.get(backend_id)
        if backend is not None and not backend.draining:
            return True
        drain_started_s = self._drain_started_s.get(backend_id)
        if drain_started_s is None:
            return False
        return (
            self.now_s - drain_started_s
            < self.settings.drain.total_seconds() * DRAINING_OWNER_FRACTION
        )

    def update_peer(self, peer: Peer) -> None:
        """Add a daemon or apply its changed entry."""
        self._expired_peers.discard(peer.name)
        if self.peers_by_name.get(peer.name) != peer:
            self.record_peer_change()
        self.peers_by_name[peer.name] = peer

    def record_peer_change(self) -> None:
        """Record that a daemon was added, removed or changed."""
        self.peers_version += 1
        self.peers_changed_s = self.now_s

    def mark_peer_expired(self, name: str) -> None:
        """Record that a daemon's entry has expired; it stays a peer while it sends datagrams."""
        if name in self.peers_by_name:
            self._expired_peers.add(name)

    def record_peer_contact(self, name: str) -> None:
        """Record the arrival of a datagram from a daemon."""
        self._last_contact_s[name] = self.now_s

    def remove_expired_peers(self) -> None:
        """Remove daemons without an entry that have not been heard from for PEER_TIMEOUT_S."""
        for name in list(self._expired_peers):
            if self.now_s - self._last_contact_s.get(name, 0.0) > PEER_TIMEOUT_S:
                self._expired_peers.discard(name)
                self._last_contact_s.pop(name, None)
                self.peers_by_name.pop(name, None)
                self.record_peer_change()
                self.log.event("daemon gone", daemon=name)

    def apply_shard_map(self, shard_map: ShardMap, source: str) -> bool:
        """Apply a shard map if it is newer than the current one; returns whether it was applied."""
        known = self.shard_maps.get(shard_map.service)
        if known is not None and (known.term, known.next_fence) >= (
            shard_map.term,
            shard_map.next_fence,
        ):
            return False
        self.take_map(shard_map, source)
        return True

    def take_map(self, shard_map: ShardMap, source: str) -> None:
        """Replace the current shard map of a service."""
        self.shard_maps[shard_map.service] = shard_map
        self.log.event(
            "shard map taken",
            service=shard_map.service,
            term=shard_map.term,
            next_fence=shard_map.next_fence,
            source=source,
        )
        self.range_blocks.end_moved(shard_map)
        self.wake(shard_map.service)

    def block_ranges(self, service: str, ranges: list[tuple[int, int]]) -> None:
        """Hold back requests for key ranges (first, last) that are about to move."""
        self.range_blocks.block(service, ranges, self.shard_maps.get(service), self.now_s)

    def is_blocked(self, service: str, key: int) -> bool:
        """Return whether a key is in a blocked range."""
        return self.range_blocks.is_blocked(service, key, self.now_s)

    def assignment(self, service: str, key: int) -> Assignment | None:
        """Return the assignment of a key; None before the first shard map."""
        shard_map = self.shard_maps.get(service)
        return shard_map.assignment_for(key) if shard_map is not None else None
