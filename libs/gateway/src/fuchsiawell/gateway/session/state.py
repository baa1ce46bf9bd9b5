"""What one daemon knows and has in hand."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiawell.balance import (
    AdmissionQueue,
    BackendSelector,
    InFlightCounts,
    LatencyEstimates,
    OutlierDetector,
    PoisonRequestDetector,
    RetryBudget,
    free_capacity,
)
from fuchsiawell.gateway.session.metrics import Metrics
from fuchsiawell.gateway.session.request_log import RequestLog
from fuchsiawell.routing import BackendDirectory, TrafficSplitter
from fuchsiawell.shards import KeyCounter

if TYPE_CHECKING:
    from random import Random

    from fuchsiawell.core import Clock, EventLog, LamportClock
    from fuchsiawell.gateway.config.settings import Settings
    from fuchsiawell.routing import Backend, Configuration
    from fuchsiawell.shards import Assignment, ShardMap

__all__ = ["InFlightRequest", "Peer", "Session"]

# Part of the drain time for which a leaving holder of keys still gets requests, from the news on:
# news may be a second late, and requests are on their way for some time.
LEAVING_PART = 0.3
# Seconds after which a daemon without an entry that sends nothing is dropped; one with any load
# reports twice a second.
SILENT_PEER_S = 3.0
# Settings that only a restart changes.
FIXED_SETTINGS = ("daemon", "zone", "host", "clients", "readiness", "peers", "metrics")
# Seconds for which a range about to move is held back when no news of the move arrives.
LONGEST_PAUSE_S = 1.5


# Link in Mbit/s that goes with a core of work for others: a hub of 24 daemons sends some 3 Mbit/s
# at about a fifth of a core, and requests need most of either.
LINK_PER_CORE = 40.0


@dataclass(frozen=True)
class Peer:
    """Another daemon, and which start of its process."""

    name: str
    start_id: str
    host: str
    port: int
    zone: str = ""
    # What it can bear beside its requests, in cores.
    capacity_cores: float = 1.0


@dataclass
class InFlightRequest:
    """A request at a server."""

    backend_id: str
    life: str
    fingerprint: int
    started_s: float
    expected_s: float
    settled: bool = False


class Session:
    """The daemon's state; control loops write it, the path of a request reads it."""

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
        # Counts events of all daemons in one order, for the time line over their logs.
        self.lamport = lamport
        self.requests_log = RequestLog(log, clock)
        self.metrics = Metrics()
        self.configuration: Configuration | None = None
        self.directory = BackendDirectory()
        self.shard_maps: dict[str, ShardMap] = {}
        self.peers_by_name: dict[str, Peer] = {}
        # Grows with each change of the peers.
        self.peers_version = 0
        # Daemons whose entries have lapsed, though they may live, cut off from the store.
        self._lapsed: set[str] = set()
        self._heard_at: dict[str, float] = {}
        self.granter: str | None = None
        self.stopping = False
        # When the store last answered a call of this daemon.
        self.last_store_contact_s = float("-inf")
        self.estimates = LatencyEstimates()
        self.outliers = OutlierDetector()
        self.loads = InFlightCounts()
        self.suspects = PoisonRequestDetector()
        self.dealer = TrafficSplitter(random)
        self.budget = RetryBudget(settings.retries)
        self.key_counters: dict[str, KeyCounter] = {}
        self.chooser = BackendSelector(
            settings.zone, self.estimates, self.loads, self.outliers, random
        )
        self.in_flight: dict[int, InFlightRequest] = {}
        self._waiting: dict[tuple[str, str | None], AdmissionQueue] = {}
        self._paused: dict[str, list[tuple[int, int, float]]] = {}
        self._left_at: dict[str, float] = {}

    @property
    def now_s(self) -> float:
        """Monotonic seconds."""
        return self.clock.monotonic()

    @property
    def local_peer(self) -> Peer:
        """This daemon as the others see it."""
        settings = self.settings
        return Peer(
            settings.daemon,
            self.start_id,
            settings.peers.host,
            settings.peers.port,
            settings.zone,
            min(settings.cores, settings.link_mbit_s / LINK_PER_CORE),
        )

    @property
    def daemons(self) -> int:
        """How many daemons share the work, this one included."""
        return len(self.peers_by_name) + 1

    @property
    def ready(self) -> bool:
        """Whether clients may be sent here: something can be served and no stop is planned."""
        return not self.stopping and self.configuration is not None and bool(self.directory.by_id)

    def take_settings(self, settings: Settings) -> None:
        """Take changed settings; who this daemon is and where it listens stays until a restart."""
        fixed = {name: getattr(self.settings, name) for name in FIXED_SETTINGS}
        differing = [name for name, value in fixed.items() if getattr(settings, name) != value]
        if differing:
            self.log.warning("settings need a restart", fields=differing)
        self.settings = replace(settings, **fixed)
        self.budget.rules = settings.retries
        self.log.event("settings reloaded")

    def waiting(self, service: str, backend_id: str | None = None) -> AdmissionQueue:
        """Return who waits for room at a service, or at the holder of their keys."""
        key = (service, backend_id)
        waiting = self._waiting.get(key)
        if waiting is None:
            waiting = self._waiting[key] = AdmissionQueue()
        return waiting

    def wake(self, service: str | None = None) -> None:
        """Let all waiting requests, or those for a service, look again: things have changed."""
        for (name, _), waiting in self._waiting.items():
            if service is None or name == service:
                waiting.wake(len(waiting), self.now_s)

    def wake_for_free_slots(self) -> None:
        """Let as many waiting requests look for room as there is."""
        for (service, backend_id), waiting in self._waiting.items():
            if not len(waiting):
                continue
            if backend_id is None:
                backends = self.directory.ready_backends(service)
            else:
                backend = self.directory.by_id.get(backend_id)
                backends = [] if backend is None else [backend]
            free = sum(max(0, free_capacity(b, self.loads.total(b.id))) for b in backends)
            waiting.wake(free, self.now_s)

    def remove_stale_queues(self) -> None:
        """Drop empty lists of servers that are gone."""
        gone = [
            key
            for key, waiting in self._waiting.items()
            if key[1] is not None and key[1] not in self.directory.by_id and not len(waiting)
        ]
        for key in gone:
            del self._waiting[key]

    def update_backend(self, backend: Backend) -> None:
        """Take a server's entry."""
        known = self.directory.by_id.get(backend.id)
        if known is not None and known.born != backend.born:
            self.forget_backend(backend.id)
        if backend.draining and (known is None or not known.draining):
            self._left_at[backend.id] = self.now_s
            self.log.event("backend draining", server=backend.id, service=backend.service)
        elif not backend.draining:
            self._left_at.pop(backend.id, None)
        if known is None:
            self.log.event(
                "backend joined", server=backend.id, service=backend.service, peer=backend.peer
            )
        self.directory.upsert(backend)
        self.wake(backend.service)

    def remove_backend(self, backend_id: str) -> None:
        """Take a server's entry away."""
        if backend_id not in self.directory.by_id:
            return
        self._left_at.setdefault(backend_id, self.now_s)
        self.directory.remove(backend_id, self.now_s)
        if backend_id not in self.directory.by_id:
            self.log.event("backend gone", server=backend_id, why="entry removed")
        else:
            self.log.event("backend missing", server=backend_id, why="store was in trouble")

    def forget_backend(self, backend_id: str) -> None:
        """Drop what was learnt of an earlier life."""
        self.estimates.forget(backend_id)
        self.outliers.forget(backend_id)

    def may_send(self, backend_id: str) -> bool:
        """Whether an owner of keys may get new requests: here, or left only just now."""
        backend = self.directory.by_id.get(backend_id)
        if backend is not None and not backend.draining:
            return True
        left_at = self._left_at.get(backend_id)
        if left_at is None:
            return False
        return self.now_s - left_at < self.settings.drain.total_seconds() * LEAVING_PART

    def update_peer(self, peer: Peer) -> None:
        """Take another daemon's entry."""
        self._lapsed.discard(peer.name)
        if self.peers_by_name.get(peer.name) != peer:
            self.peers_version += 1
        self.peers_by_name[peer.name] = peer

    def mark_peer_expired(self, name: str) -> None:
        """Note that a daemon's entry is gone; it stays a peer while it is heard from."""
        if name in self.peers_by_name:
            self._lapsed.add(name)

    def record_peer_contact(self, name: str) -> None:
        """Note a datagram from a daemon."""
        self._heard_at[name] = self.now_s

    def remove_expired_peers(self) -> None:
        """Drop daemons without an entry that fell silent."""
        for name in list(self._lapsed):
            if self.now_s - self._heard_at.get(name, 0.0) > SILENT_PEER_S:
                self._lapsed.discard(name)
                self._heard_at.pop(name, None)
                self.peers_by_name.pop(name, None)
                self.peers_version += 1
                self.log.event("daemon gone", daemon=name)

    def apply_shard_map(self, shard_map: ShardMap, source: str) -> bool:
        """Take a shard map unless a newer one is known; returns whether it was taken."""
        known = self.shard_maps.get(shard_map.service)
        if known is not None and (known.term, known.next_fence) >= (
            shard_map.term,
            shard_map.next_fence,
        ):
            return False
        self.shard_maps[shard_map.service] = shard_map
        self.log.event(
            "shard map taken",
            service=shard_map.service,
            term=shard_map.term,
            next_fence=shard_map.next_fence,
            source=source,
        )
        self.resume_moved(shard_map)
        self.wake(shard_map.service)
        return True

    def block_ranges(self, service: str, pieces: list[tuple[int, int]]) -> None:
        """Hold back requests for keys that are about to move."""
        until = self.now_s + LONGEST_PAUSE_S
        self._paused.setdefault(service, []).extend((a, b, until) for a, b in pieces)

    def resume_moved(self, shard_map: ShardMap) -> None:
        """Let requests go on to the new holders."""
        self._paused.pop(shard_map.service, None)

    def paused(self, service: str, key: int) -> bool:
        """Whether a key is about to move."""
        pieces = self._paused.get(service)
        if not pieces:
            return False
        now_s = self.now_s
        live = [piece for piece in pieces if piece[2] > now_s]
        self._paused[service] = live
        return any(first <= key <= last for first, last, _ in live)

    def holding(self, service: str, key: int) -> Assignment | None:
        """Return who holds a key, None before the first map."""
        shard_map = self.shard_maps.get(service)
        return shard_map.assignment_for(key) if shard_map is not None else None

    def count_key(self, service: str, key: int) -> None:
        """Count a request for a key."""
        self.key_counters.setdefault(service, KeyCounter()).count(key)
