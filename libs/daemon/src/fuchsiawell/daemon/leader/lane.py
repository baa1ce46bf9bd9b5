"""Everything that one leader keeps of its way to one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.daemon.leader.gate import Gate
from fuchsiawell.daemon.leader.pool import Pool
from fuchsiawell.load import QueueSettings
from fuchsiawell.once import RetryBudget

if TYPE_CHECKING:
    from fuchsiawell.config import Service
    from fuchsiawell.core import Clock
    from fuchsiawell.ownership import ServerRecord

__all__ = ["Lane"]

DEFAULT_CONNECTIONS = 130  # where the configuration does not say how many a server accepts
DEFAULT_SLOTS = 2
MIN_OVERDUE_S = 0.6
OVERDUE_FACTOR = 5.0  # times the mean; a slow answer is not worth a second copy
MEAN_WEIGHT = 0.1
COPY_SHARE = 0.05  # copies sent beside a first try, as a share of first tries
COPY_BURST = 32.0


class Lane:
    """Own the queue and the connections of one backend server."""

    def __init__(self, server: ServerRecord, service: Service | None, clock: Clock) -> None:
        slots = DEFAULT_SLOTS if service is None else service.slots
        limit = DEFAULT_CONNECTIONS if service is None else service.max_connections
        self.address = server.address
        self.gate = Gate(QueueSettings(slots), clock)
        self.pool = Pool(server.address, limit, clock)
        self.copies = RetryBudget(COPY_SHARE, COPY_BURST)
        self._mean_s_by_kind: dict[str, float] = {}

    def overdue_s(self, kind: str) -> float:
        """Return after how long without an answer a request of this kind may be lost."""
        return max(MIN_OVERDUE_S, OVERDUE_FACTOR * self._mean_s_by_kind.get(kind, 0.0))

    def record_answer(self, kind: str, seconds: float) -> None:
        """Count the time until an answer began."""
        mean_s = self._mean_s_by_kind.get(kind, seconds)
        self._mean_s_by_kind[kind] = mean_s + MEAN_WEIGHT * (seconds - mean_s)
        self.copies.count_first_try()

    def close(self) -> None:
        """Close the connections and stop the queue's timer."""
        self.gate.close()
        self.pool.close()
