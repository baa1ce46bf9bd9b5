"""Plan the next moves of one service, beside those that are under way."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.shards import KeyRates, Move, plan_moves

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.owner_health import OwnerHealth
    from fuchsiawell.gateway.control.range_moves import RangeMoves
    from fuchsiawell.gateway.control.range_releases import RangeReleases
    from fuchsiawell.gateway.control.server_view import ServerView
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.shards import Member, ShardMap

__all__ = ["MovePlanner"]

# No second move for load within this time: the new owner's queue and latency factor must settle.
MOVE_COOLDOWN_S = 3.0


class MovePlanner:
    """Plan moves by the load of keys and by what is known of their owners."""

    def __init__(
        self,
        session: Session,
        view: ServerView,
        health: OwnerHealth,
        releases: RangeReleases,
        moves: RangeMoves,
    ) -> None:
        self._session = session
        self._view = view
        self._health = health
        self._releases = releases
        self._moves = moves
        self._moved_s: dict[tuple[int, int], float] = {}  # when each range moved last
        self.key_rates = KeyRates()

    def plan(self, shard_map: ShardMap, members: list[Member]) -> list[Move]:
        """Return the moves that are needed once those under way have ended.

        For ranges whose targets are no longer members they name other targets.
        """
        now_s = self._session.now_s
        directory = self._session.directory
        pinned_owners = {
            owner
            for owner in self._health.all_unresponsive
            if not self._releases.grants_expired(
                owner, [(a.first, a.last) for a in shard_map.owned_by(owner)], now_s
            )
            and not self._view.has_restarted(owner)
        }
        expiring = self._releases.expiring_ranges
        # Owners that leave an evacuated zone give up all ranges that are not being moved yet.
        pinned_owners |= {
            owner
            for first, _ in expiring
            if (owner := shard_map.assignment_for(first).owner)
            and not directory.is_evacuated(owner.backend_id)
        }
        self._moved_s = {
            key_range: moved_s
            for key_range, moved_s in self._moved_s.items()
            if now_s - moved_s < MOVE_COOLDOWN_S
        }
        moves = plan_moves(
            self._moves.planned_map(shard_map, {member.owner for member in members}),
            members,
            self.key_rates.rates(now_s),
            self._view.service_time_s(),
            pinned_owners,
            self._moved_s,
            busiest_first=bool(self._session.evacuated_zones),
            moving=[*self._moves.ranges, *expiring],
        )
        return [
            move
            for move in moves
            if (move.first, move.last) in self._moves
            or not self._releases.is_expiring(move.first, move.last)
        ]

    def expired(self, shard_map: ShardMap, members: list[Member]) -> list[Move]:
        """Return moves of ranges whose grants have expired, each to a random member."""
        unbounded = self._view.unbounded(members)
        return [
            Move(
                first,
                last,
                shard_map.assignment_for(first).owner,
                unbounded[self._session.random.randrange(len(unbounded))].owner,
            )
            for first, last in self._releases.expired_ranges(self._session.now_s)
            if unbounded and (first, last) not in self._moves
        ]

    def needs_release(self, move: Move) -> bool:
        """Return whether the owner of a range must release it: its grant may not have expired."""
        return (
            move.source is not None
            and not self._releases.grants_expired(
                move.source, [(move.first, move.last)], self._session.now_s
            )
            and not self._releases.is_expiring(move.first, move.last)
        )

    def record_moved(self, move: Move) -> None:
        """Record that the new owner of a range is stored."""
        self._moved_s[move.first, move.last] = self._session.now_s
