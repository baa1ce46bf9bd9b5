"""The data path's question whether it may send, answered from what this daemon leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.daemon.leader.authority import Authority
from fuchsiawell.ownership.server_leadership import DEADLINE_MARGIN_S

if TYPE_CHECKING:
    from fuchsiawell.core import Clock, NotRunReason, ShardId
    from fuchsiawell.ownership import Fence, Leader, Ticket

__all__ = ["LeadershipAuthority"]


class LeadershipAuthority(Authority):
    """Permit what the leadership holds at this instant, and count it until its end."""

    def __init__(self, leader: Leader, clock: Clock) -> None:
        self._leader = leader
        self._clock = clock

    def permit(self, shard: ShardId) -> Fence | NotRunReason:
        """Return the fence to send with at this instant, or why nothing may be sent."""
        return self._leader.may_send(shard, self._clock.monotonic())

    def enter(self, shard: ShardId, fence: Fence) -> Ticket:
        """Count a request in, at the instant of its fence."""
        return self._leader.enter(shard, fence, self._clock.monotonic())

    def leave(self, ticket: Ticket, may_run_until_s: float | None = None) -> None:
        """Count a request out; with its deadline if it got no answer and may run until then."""
        until_s = None if may_run_until_s is None else may_run_until_s + DEADLINE_MARGIN_S
        self._leader.leave(ticket, until_s)
