"""Invariants that are checked after every event of a run."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiawell.ownership import Assignment
    from fuchsiawell.platform import Record

__all__ = ["Checker"]

LEAVING_LIMIT_S = 3.5  # the host list is read each second, and 2 s later nothing new is sent


class Checker:
    """Collect every violation; an empty list at the end means that all invariants held.

    What a server that does not check fences cannot be protected from is collected as a limit.
    """

    def __init__(self, unchecked: Iterable[str] = ()) -> None:
        """Start; `unchecked` names the servers that do not check fences."""
        self.violations: list[str] = []
        self.limits: list[str] = []
        self._unchecked = frozenset(unchecked)
        self._was_frozen: set[str] = set()
        self._running_by_key: dict[str, dict[str, int]] = {}
        self._epoch_by_key: dict[str, int] = {}
        self._frozen: set[str] = set()
        self._leaving_since_s: dict[str, float] = {}
        self._last: Assignment | None = None
        self._written: dict[int, bytes] = {}

    def on_start(self, key: str, epoch: int, server: str, now_s: float) -> None:
        """Take the start of a piece of work under an epoch of its key's shard."""
        if epoch < self._epoch_by_key.get(key, 0):
            self._doubled(now_s, f"{key} starts at {server} under epoch {epoch}", {server})
        self._epoch_by_key[key] = max(epoch, self._epoch_by_key.get(key, 0))
        counts = self._running_by_key.setdefault(key, {})
        counts[server] = counts.get(server, 0) + 1
        since_s = self._leaving_since_s.get(server)
        if since_s is not None and now_s - since_s > LEAVING_LIMIT_S:
            self._violated(now_s, f"{server} got work {now_s - since_s:.1f} s after it left")
        self._check_owners(key, now_s)

    def on_end(self, key: str, server: str) -> None:
        """Take the end of a piece of work."""
        counts = self._running_by_key[key]
        counts[server] -= 1
        if not counts[server]:
            del counts[server]

    def on_leaving(self, server: str, now_s: float) -> None:
        """Take the instant at which the platform marks a server as leaving."""
        self._leaving_since_s[server] = now_s

    def on_frozen(self, server: str, frozen: bool, now_s: float) -> None:
        """Take that a server stands still, or runs again with what it had not stopped."""
        (self._frozen.add if frozen else self._frozen.discard)(server)
        self._was_frozen.add(server)
        for key in self._running_by_key:
            self._check_owners(key, now_s)

    def on_write(self, record: Record, assignment: Assignment, now_s: float) -> None:
        """Take a record that the store made."""
        before, self._last = self._last, assignment
        self._written[record.revision] = record.value
        if before is None:
            return
        for id, shard in before.shards_by_id.items():
            later = assignment.shards_by_id.get(id)
            if later is not None and later.epoch < shard.epoch:
                self._violated(now_s, f"epoch of {id} fell to {later.epoch}")
            if later is not None and later.epoch == shard.epoch and later.owner != shard.owner:
                self._violated(now_s, f"{id} changed its owner within epoch {shard.epoch}")
        for server in before.servers_by_id.values():
            now = assignment.servers_by_id.get(server.id)
            if now is not None and now.term < server.term:
                self._violated(now_s, f"term of {server.id} fell to {now.term}")
            if now is not None and now.term == server.term and now.leader != server.leader:
                self._violated(now_s, f"{server.id} changed its leader within term {now.term}")

    def on_held(self, daemon: str, revision: int, value: bytes, now_s: float) -> None:
        """Take what a daemon believes was made."""
        if self._written.get(revision) != value:
            self._violated(now_s, f"{daemon} holds revision {revision}, which was never made")

    def _check_owners(self, key: str, now_s: float) -> None:
        live = sorted(set(self._running_by_key[key]) - self._frozen)
        if len(live) < 2:
            return
        self._doubled(now_s, f"{key} runs at {' and '.join(live)}", set(live))

    def _doubled(self, now_s: float, what: str, servers: set[str]) -> None:
        if servers <= self._unchecked and servers & self._was_frozen:
            # Its buffered requests start their deadlines when it returns, and it checks no fence.
            self.limits.append(f"{now_s:.3f} s: {what}")
        else:
            self._violated(now_s, what)

    def _violated(self, now_s: float, what: str) -> None:
        self.violations.append(f"{now_s:.3f} s: {what}")
