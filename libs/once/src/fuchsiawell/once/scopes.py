"""The scopes whose never-repeat work a leader may take."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.once.minted import Mint, Tenure, TenureSet
from fuchsiawell.once.records import HandedScope, Hold

if TYPE_CHECKING:
    from fuchsiawell.core import ShardId
    from fuchsiawell.once.records import Scope

__all__ = ["Scopes"]


class Scopes:
    """Hold the shards that are open, and single keys that differ from the rest of their shard."""

    def __init__(self, mint: Mint) -> None:
        self._mint = mint
        self._holds: dict[tuple[ShardId, str | None], Hold] = {}

    def find(self, shard: ShardId, key: str | None) -> Hold | None:
        """Return the open hold of the key, or of its shard; none where neither is open."""
        own = self._holds.get((shard, key))
        hold = self._holds.get((shard, None)) if own is None else own
        return hold if hold is not None and hold.open else None

    def open(self, scope: Scope, earlier: tuple[Tenure, ...], unjournaled_until_s: float) -> None:
        """Open a scope under a new tenure, vouching also for ids of `earlier` ones."""
        tenures = TenureSet(self._mint.start_tenure(), earlier)
        self._holds[scope.shard, scope.key] = Hold(tenures, unjournaled_until_s)

    def hand(self, scope: Scope, now_s: float) -> HandedScope | None:
        """Close a scope and return what its next leader must know; none if it is not open."""
        hold = self.find(scope.shard, scope.key)
        if hold is None:
            return None
        self._close(scope, hold)
        wait_s = max(0.0, hold.unjournaled_until_s - now_s)
        return HandedScope(scope, hold.tenures.all(), wait_s)

    def close_all(self) -> None:
        """Close every scope."""
        for hold in self._holds.values():
            hold.open = False
        self._holds.clear()

    def _close(self, scope: Scope, hold: Hold) -> None:
        if scope.key is not None:
            _stop(self._holds.get((scope.shard, scope.key)))
            closed = Hold(hold.tenures, hold.unjournaled_until_s, open=False)
            self._holds[scope.shard, scope.key] = closed
            return
        for place in [place for place in self._holds if place[0] == scope.shard]:
            _stop(self._holds.pop(place))


def _stop(hold: Hold | None) -> None:
    if hold is not None:
        hold.open = False
