"""The backend servers that may be used, as the platform last told them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["Backend", "BackendDirectory"]

# How long after the store's return an entry that lapsed meanwhile may still come back, in seconds.
# The platform's pages say about two.
RETURN_TIME_S = 2.2
# A removal this soon after trouble with the store may be a lapse, not a leaving, in seconds:
# entries last three heartbeats (up to 4.5 s) and the watch may be behind by one wait.
SUSPICION_S = 5.0
# Part of a service's servers whose entries must be there for the missing ones to count as gone:
# planned work takes up to a fifth of them at a time.
PRESENT_PART = 0.75


@dataclass(frozen=True)
class Backend:
    """One life of a backend server."""

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    # Start of this life, Unix milliseconds; tells lives under one id apart.
    born: int
    draining: bool

    @property
    def peer(self) -> str:
        """Its address, for logs."""
        return f"{self.host}:{self.port}"


class BackendDirectory:
    """Keep the servers by id; removals after trouble with the store take effect later.

    Entries may lapse while the store is away though their servers live: such a removal counts only
    when the entry is still missing some time after the store's return.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, Backend] = {}
        self._missing_until: dict[str, float] = {}
        self._trouble_at = float("-inf")
        self._back_at = float("-inf")
        self._away = False

    @property
    def by_id(self) -> Mapping[str, Backend]:
        """All servers that may hold work, draining ones included."""
        return self._by_id

    def ready_backends(self, service: str) -> list[Backend]:
        """Return the servers of a service that may get new requests."""
        return [
            backend
            for backend in self._by_id.values()
            if backend.service == service and not backend.draining
        ]

    def preferred(self, service: str) -> list[Backend]:
        """Return the servers that requests should go to: those whose entries are there.

        A few missing entries are of servers that left while this daemon was out of touch. Where
        many are missing they have lapsed, and their servers serve on.
        """
        known = self.ready_backends(service)
        present = [backend for backend in known if backend.id not in self._missing_until]
        return present if len(present) >= PRESENT_PART * len(known) else known

    def on_store_unavailable(self, now_s: float) -> None:
        """Note that the store does not answer this daemon."""
        self._away = True
        self._trouble_at = now_s

    def on_store_available(self, now_s: float) -> None:
        """Note that the store answers again."""
        if self._away:
            self._away = False
            self._trouble_at = self._back_at = now_s

    def upsert(self, backend: Backend) -> None:
        """Add or update a server."""
        self._missing_until.pop(backend.id, None)
        self._by_id[backend.id] = backend

    def remove(self, backend_id: str, now_s: float) -> None:
        """Take a server's entry away, at once unless the store was in trouble shortly before."""
        if backend_id not in self._by_id or backend_id in self._missing_until:
            return
        if self._away or now_s - self._trouble_at < SUSPICION_S:
            base = now_s if self._away else max(self._back_at, now_s - RETURN_TIME_S)
            self._missing_until[backend_id] = base + RETURN_TIME_S
        else:
            del self._by_id[backend_id]

    def expire(self, now_s: float) -> list[str]:
        """Drop servers whose entries stayed missing; returns their ids."""
        if self._away:
            return []
        gone = [
            backend_id
            for backend_id, until_s in self._missing_until.items()
            if now_s >= max(until_s, self._back_at + RETURN_TIME_S)
        ]
        for backend_id in gone:
            del self._missing_until[backend_id]
            self._by_id.pop(backend_id, None)
        return gone
