"""The backend servers in use, by the platform's entries in the store."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiawell.routing.removed_servers import RemovedServers

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping
    from datetime import timedelta

__all__ = ["Backend", "BackendDirectory"]

# Time after the store is available again in which entries that expired meanwhile may be written
# again. The platform's documentation says about 2 s.
ENTRY_RETURN_S = 2.2
# A removal this soon after the store was unavailable may be the expiry of an entry whose server
# still runs: entries last three heartbeats (up to 4.5 s), and the watch may be late by one wait.
EXPIRY_SUSPICION_S = 5.0
# Ratio of a service's servers whose entries must be present for the others to count as removed:
# planned maintenance takes out up to a fifth of the servers at a time.
MIN_PRESENT_RATIO = 0.75


@dataclass(frozen=True)
class Backend:
    """One incarnation of a backend server."""

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    # Start of this incarnation in Unix milliseconds; distinguishes incarnations with the same id.
    incarnation: int
    draining: bool
    # How much longer it is cold, as of the writing of its entry; None: its entry does not say.
    cold: timedelta | None = None

    @property
    def peer(self) -> str:
        """The address, for logs."""
        return f"{self.host}:{self.port}"

    @property
    def incarnation_id(self) -> str:
        """The server and its incarnation."""
        return f"{self.id}/{self.incarnation}"


class BackendDirectory:
    """Keep the backend servers by id; delay removals after the store was unavailable.

    Entries may expire while the store is unavailable although their servers still run. Such a
    removal takes effect only if the entry is still missing some time after the store is available
    again.
    """

    def __init__(self, evacuated_zones: Collection[str] = ()) -> None:
        self._evacuated_zones = evacuated_zones
        self._by_id: dict[str, Backend] = {}
        # Since when the incarnation of each server is listed.
        self._listed_s: dict[str, float] = {}
        self.removed = RemovedServers()
        self._missing_until_s: dict[str, float] = {}
        self._last_unavailable_s = float("-inf")
        self._available_since_s = float("-inf")
        self._store_unavailable = False

    @property
    def by_id(self) -> Mapping[str, Backend]:
        """All servers that may have requests in flight, including draining ones."""
        return self._by_id

    def ready_backends(self, service: str) -> list[Backend]:
        """Return the servers of a service that may get new requests, including missing ones.

        Servers of evacuated zones are left out.
        """
        ready = [
            backend
            for backend in self._by_id.values()
            if backend.service == service and not backend.draining
        ]
        if not self._evacuated_zones:
            return ready
        return [backend for backend in ready if backend.zone not in self._evacuated_zones]

    def is_evacuated(self, backend_id: str) -> bool:
        """Return whether a server is in an evacuated zone, or may be: its zone is not known."""
        if not self._evacuated_zones:
            return False
        backend = self._by_id.get(backend_id)
        return backend is None or backend.zone in self._evacuated_zones

    def is_wholly_evacuated(self, service: str) -> bool:
        """Return whether servers of a service may get no requests until a zone is taken back."""
        return (
            bool(self._evacuated_zones)
            and not self.ready_backends(service)
            and any(
                backend.service == service and backend.zone in self._evacuated_zones
                for backend in self._by_id.values()
            )
        )

    def preferred(self, service: str) -> list[Backend]:
        """Return the ready servers whose entries are present; all of them if many are missing.

        A few missing entries belong to servers that were removed while this daemon could not reach
        the store. If many are missing, the entries have expired and their servers still run.
        """
        ready = self.ready_backends(service)
        present = [backend for backend in ready if backend.id not in self._missing_until_s]
        return present if len(present) >= MIN_PRESENT_RATIO * len(ready) else ready

    def is_left_out(self, backend_id: str) -> bool:
        """Return whether a server's entry is missing and counts as removed, as only few are."""
        backend = self._by_id.get(backend_id)
        return (
            backend is not None
            and backend_id in self._missing_until_s
            and backend not in self.preferred(backend.service)
        )

    def on_store_unavailable(self, now_s: float) -> None:
        """Record that the store does not respond to this daemon."""
        self._store_unavailable = True
        self._last_unavailable_s = now_s

    def on_store_available(self, now_s: float) -> None:
        """Record that the store responds again."""
        if self._store_unavailable:
            self._store_unavailable = False
            self._last_unavailable_s = self._available_since_s = now_s

    def upsert(self, backend: Backend, now_s: float = 0.0) -> None:
        """Add or update a server."""
        known = self._by_id.get(backend.id)
        if known is None or known.incarnation != backend.incarnation:
            self._listed_s[backend.id] = now_s
        self._missing_until_s.pop(backend.id, None)
        self.removed.discard(backend.incarnation_id)
        self._by_id[backend.id] = backend

    def mark_draining(self, backend_id: str) -> None:
        """Mark a server as draining, whether its entry is present or missing."""
        self._by_id[backend_id] = replace(self._by_id[backend_id], draining=True)

    def remove(self, backend_id: str, now_s: float) -> None:
        """Remove a server, at once unless the store was unavailable shortly before."""
        if backend_id not in self._by_id or backend_id in self._missing_until_s:
            return
        if self._store_unavailable or now_s - self._last_unavailable_s < EXPIRY_SUSPICION_S:
            start_s = (
                now_s
                if self._store_unavailable
                else max(self._available_since_s, now_s - ENTRY_RETURN_S)
            )
            self._missing_until_s[backend_id] = start_s + ENTRY_RETURN_S
        else:
            self._discard(backend_id, now_s)

    def record_removed(self, incarnation_id: str, removed_s: float) -> bool:
        """Record a removal of which another daemon knows; return whether the server was listed.

        It changes nothing for a server that has been listed since.
        """
        backend = self._by_id.get(incarnation_id.rpartition("/")[0])
        if backend is None or backend.incarnation_id != incarnation_id:
            self.removed.record(incarnation_id, removed_s)
            return False
        if removed_s <= self._listed_s[backend.id]:
            return False
        self._discard(backend.id, removed_s)
        return True

    def expire(self, now_s: float) -> list[str]:
        """Remove servers whose entries are still missing; return their ids."""
        if self._store_unavailable:
            return []
        removed = [
            backend_id
            for backend_id, until_s in self._missing_until_s.items()
            if now_s >= max(until_s, self._available_since_s + ENTRY_RETURN_S)
        ]
        for backend_id in removed:
            self._discard(backend_id, now_s)
        return removed

    def _discard(self, backend_id: str, now_s: float) -> None:
        self._missing_until_s.pop(backend_id, None)
        self._listed_s.pop(backend_id, None)
        self.removed.record(self._by_id.pop(backend_id).incarnation_id, now_s)
