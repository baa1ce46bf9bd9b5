"""The policies under comparison: who owns a key, and when that changes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.bench.policy.traces import Site, Trace

__all__ = [
    "MOVE_S",
    "SHARDS",
    "GreedyMoves",
    "LeastConnections",
    "LeastConnectionsFreeMoves",
    "Router",
    "ShardRouter",
    "StaticHashing",
]

SHARDS = 256
MOVE_S = 0.1  # release by the old owner, two writes to the store, grant at the new owner
GREEDY_MOVES_PER_TICK = 64  # keeps a run finite where no move helps for long


class Router(ABC):
    """Tell the owner of each key; count every change of owner."""

    name: str

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        self.site: Site = trace.site
        self.live = set(range(self.site.servers))
        self.keys_moved = 0
        self.keys_moved_by_loss = 0
        self.usable_slots: Callable[[int, float], int] = lambda server, now_s: self.site.slots

    @abstractmethod
    def route(self, key: int, now_s: float) -> tuple[int, float]:
        """Return the owner, and the time from which it may serve the key."""

    def tick(self, now_s: float) -> None:  # noqa: B027
        """Reconsider, once a second."""

    def lost(self, server: int, now_s: float) -> None:
        """Take in that a server is proved lost."""
        self.live.discard(server)

    def returned(self, server: int, now_s: float) -> None:
        """Take in that a server is back, empty."""
        self.live.add(server)

    def record(self, server: int, key: int, busy_s: float, now_s: float) -> None:  # noqa: B027
        """Take in that a request was answered."""

    def outstanding(self, server: int, change: int) -> None:  # noqa: B027
        """Take in that a server holds a request more or less."""


class ShardRouter(Router):
    """Keep owners by shard, starting from equally many shards a server."""

    def __init__(self, trace: Trace) -> None:
        super().__init__(trace)
        self.shard_by_key = [_hash(f"key-{key}") % SHARDS for key in range(self.site.keys)]
        self.keys_by_shard = [0] * SHARDS
        for shard in self.shard_by_key:
            self.keys_by_shard[shard] += 1
        self.owner_by_shard = [shard % self.site.servers for shard in range(SHARDS)]
        self.ready_by_shard = [0.0] * SHARDS

    def route(self, key: int, now_s: float) -> tuple[int, float]:
        """Return the owner of the key's shard."""
        shard = self.shard_by_key[key]
        return self.owner_by_shard[shard], self.ready_by_shard[shard]

    def move(self, shard: int, to: int, now_s: float) -> None:
        """Give a shard another owner."""
        if self.owner_by_shard[shard] == to:
            return
        if self.owner_by_shard[shard] not in self.live:
            self.keys_moved_by_loss += self.keys_by_shard[shard]
        self.owner_by_shard[shard] = to
        self.ready_by_shard[shard] = now_s + MOVE_S
        self.keys_moved += self.keys_by_shard[shard]


class StaticHashing(ShardRouter):
    """Give each shard the live server of the highest hash, its first one while that lives."""

    name = "static-hashing"

    def lost(self, server: int, now_s: float) -> None:
        """Rehash the shards of a lost server."""
        super().lost(server, now_s)
        self._rehash(now_s)

    def returned(self, server: int, now_s: float) -> None:
        """Give a server that is back its own shards again."""
        super().returned(server, now_s)
        self._rehash(now_s)

    def _rehash(self, now_s: float) -> None:
        for shard in range(SHARDS):
            first = shard % self.site.servers
            self.move(shard, first if first in self.live else self._fallback(shard), now_s)

    def _fallback(self, shard: int) -> int:
        return max(self.live, key=lambda server: _hash(f"{shard}/{server}"))


class GreedyMoves(ShardRouter):
    """Move shards from the busiest to the idlest server on every tick while that helps at all.

    Server totals come from the servers' load endpoints where those mislead.
    """

    name = "greedy-moves"

    def __init__(self, trace: Trace) -> None:
        super().__init__(trace)
        self._busy_by_shard = [0.0] * SHARDS
        self._keep = 0.5 ** (1 / 20.0)  # a tick; the same half-life as the load reports

    def record(self, server: int, key: int, busy_s: float, now_s: float) -> None:
        """Add to the shard's busy time."""
        self._busy_by_shard[self.shard_by_key[key]] += busy_s

    def tick(self, now_s: float) -> None:
        """Move until no move lowers the busier of two servers."""
        totals = self._totals()
        for _ in range(GREEDY_MOVES_PER_TICK):
            source = max(totals, key=totals.__getitem__)
            target = min(totals, key=totals.__getitem__)
            gap = totals[source] - totals[target]
            fitting = [
                shard
                for shard in range(SHARDS)
                if self.owner_by_shard[shard] == source and 0 < self._busy_by_shard[shard] < gap
            ]
            if not fitting:
                break
            shard = min(fitting, key=lambda s: abs(self._busy_by_shard[s] - gap / 2))
            self.move(shard, target, now_s)
            totals[source] -= self._busy_by_shard[shard]
            totals[target] += self._busy_by_shard[shard]
        self._busy_by_shard = [busy * self._keep for busy in self._busy_by_shard]

    def lost(self, server: int, now_s: float) -> None:
        """Give each shard of the lost server to the idlest one."""
        super().lost(server, now_s)
        totals = self._totals()
        for shard in range(SHARDS):
            if self.owner_by_shard[shard] == server:
                target = min(totals, key=totals.__getitem__)
                self.move(shard, target, now_s)
                totals[target] += self._busy_by_shard[shard]

    def _totals(self) -> dict[int, float]:
        totals = dict.fromkeys(sorted(self.live), 0.0)
        for shard, owner in enumerate(self.owner_by_shard):
            if owner in totals:
                totals[owner] += self._busy_by_shard[shard]
        return {s: 0.0 if s in self.trace.lying else total for s, total in totals.items()}


class LeastConnections(Router):
    """Send each request to the server with the fewest, whoever owned its key before.

    A server whose load endpoint misleads is taken for idle, as that policy asks the endpoints.
    """

    name = "least-connections"
    move_s = MOVE_S

    def __init__(self, trace: Trace) -> None:
        super().__init__(trace)
        self._outstanding = [0] * self.site.servers
        self._owner_by_key: dict[int, int] = {}
        self._ready_by_key: dict[int, float] = {}
        self._turn = 0

    def route(self, key: int, now_s: float) -> tuple[int, float]:
        """Return the server with the fewest requests, which thereby becomes the key's owner."""
        before = self._owner_by_key.get(key)
        self._turn += 1
        best = min(self.live, key=lambda s: (self._seen(s), s != before, self._distance(s)))
        if before is not None and best != before:
            self.keys_moved += 1
            self.keys_moved_by_loss += before not in self.live
            self._ready_by_key[key] = max(now_s, self._ready_by_key.get(key, 0.0)) + self.move_s
        self._owner_by_key[key] = best
        return best, self._ready_by_key.get(key, 0.0)

    def outstanding(self, server: int, change: int) -> None:
        """Follow the number of requests at each server."""
        self._outstanding[server] += change

    def _distance(self, server: int) -> int:
        """Rank equal servers in turn."""
        return (server - self._turn) % self.site.servers

    def _seen(self, server: int) -> int:
        return 0 if server in self.trace.lying else self._outstanding[server]


class LeastConnectionsFreeMoves(LeastConnections):
    """Bound what any policy could reach if ownership cost nothing; no system can run it."""

    name = "free-moves-bound"
    move_s = 0.0


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
