"""Room at a server for requests of an urgency class: what is kept free for the more urgent."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.balance.backend_selection import free_capacity

if TYPE_CHECKING:
    from random import Random

    from fuchsiawell.routing import Backend

__all__ = ["FULL_ROOM", "ClassRoom", "RoomShares", "reserved_slots"]

# More urgent requests may find no free slot with a probability below this.
MAX_BLOCKED_PROBABILITY = 0.2
# Fewer busy slots than this need no reserve: with it, a usual reserve ends about 1.3 s after the
# last urgent request.
MIN_BUSY_SLOTS = 0.1
# Age of what a daemon knows of the requests of others. Within it, all daemons with a waiting
# request see the same free room, and all would fill it.
KNOWLEDGE_AGE_S = 0.14
# Further draws are discarded; they are kept for servers that requests wait for at several daemons.
MAX_DRAWS = 500


def reserved_slots(busy_urgent: float, slots: int) -> int:
    """Return the slots of a server to keep for more urgent requests, `busy_urgent` on average.

    The smallest number of which all are busy with a probability below the maximum: the requests at
    a server follow a Poisson distribution. One slot always remains for others.
    """
    if busy_urgent < MIN_BUSY_SLOTS:
        return 0
    term, cumulative, reserve = math.exp(-busy_urgent), 0.0, 0
    while 1.0 - cumulative >= MAX_BLOCKED_PROBABILITY and reserve < slots - 1:
        cumulative += term
        reserve += 1
        term *= busy_urgent / reserve
    return reserve


@dataclass(frozen=True)
class ClassRoom:
    """Room for requests of a class at each server of a service."""

    # Slots that more urgent requests keep busy at a server on average; None if none are present,
    # so that the class may use the queue of the server.
    busy_urgent: float | None = None

    def free(self, backend: Backend, in_flight: int) -> int:
        """Return how many more requests of the class a server may get; zero or less for none."""
        if self.busy_urgent is None:
            return free_capacity(backend, in_flight)
        slots = max(1, backend.slots)
        return slots - reserved_slots(self.busy_urgent, slots) - in_flight


FULL_ROOM = ClassRoom()


class RoomShares:
    """Share the room for a class at a server among the daemons whose requests wait for it.

    Each daemon draws its share, in proportion to its queued work, once in `KNOWLEDGE_AGE_S`.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        # By server and class: time of the draw, requests that may still be sent by it.
        self._draws: dict[tuple[str, int], tuple[float, int]] = {}

    def allowed(
        self, server: str, urgency: int, room: int, own_ms: int, others_ms: int, now_s: float
    ) -> int:
        """Return how many requests this daemon may send into a room now."""
        if room <= 0 or others_ms <= 0:
            return room
        drawn_s, left = self._draws.get((server, urgency), (float("-inf"), 0))
        if now_s - drawn_s >= KNOWLEDGE_AGE_S:
            share = room * own_ms / (own_ms + others_ms)
            left = int(share) + (self._random.random() < share % 1.0)
            if len(self._draws) >= MAX_DRAWS:
                self._draws.clear()
            self._draws[server, urgency] = (now_s, left)
        return min(room, left)

    def record_admission(self, server: str, urgency: int) -> None:
        """Record that a request of a class was sent to a server."""
        draw = self._draws.get((server, urgency))
        if draw is not None:
            self._draws[server, urgency] = (draw[0], max(0, draw[1] - 1))
