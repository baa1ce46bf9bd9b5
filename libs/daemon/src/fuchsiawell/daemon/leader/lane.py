"""Everything that one leader keeps of its way to one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.daemon.leader.gate import Gate
from fuchsiawell.daemon.leader.pool import Pool
from fuchsiawell.load import QueueSettings

if TYPE_CHECKING:
    from fuchsiawell.config import Service
    from fuchsiawell.core import Clock
    from fuchsiawell.ownership import ServerRecord

__all__ = ["Lane"]

DEFAULT_CONNECTIONS = 130  # where the configuration does not say how many a server accepts
DEFAULT_SLOTS = 2


class Lane:
    """Own the queue and the connections of one backend server."""

    def __init__(self, server: ServerRecord, service: Service | None, clock: Clock) -> None:
        slots = DEFAULT_SLOTS if service is None else service.slots
        limit = DEFAULT_CONNECTIONS if service is None else service.max_connections
        self.address = server.address
        self.gate = Gate(QueueSettings(slots), clock)
        self.pool = Pool(server.address, limit, clock)

    def close(self) -> None:
        """Close the connections and stop the queue's timer."""
        self.gate.close()
        self.pool.close()
