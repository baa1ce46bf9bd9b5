"""Free key ranges from their owners: by a release, or by the expiry of their grants."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.grant_client import GrantCallError
from fuchsiawell.shards import GrantExpiryTracker

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from fuchsiawell.gateway.control.grant_client import GrantClient
    from fuchsiawell.gateway.control.owner_health import OwnerHealth
    from fuchsiawell.gateway.control.server_view import ServerView
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.shards import GrantTiming, Move, Owner

__all__ = ["RangeReleases", "ReleaseCalls"]

# A released range that becomes free within this time stays in its move.
MAX_FREE_WAIT_S = 0.5
# Delay before a blocked range is released: the datagram must first stop requests at every daemon.
BLOCK_DELAY_S = 0.01


class RangeReleases:
    """Ranges of one service that are being freed; a range counts as owned until it is free."""

    def __init__(
        self,
        session: Session,
        timing: GrantTiming,
        view: ServerView,
        health: OwnerHealth,
        client: Callable[[Owner], GrantClient],
    ) -> None:
        self._session = session
        self._timing = timing
        self._view = view
        self._health = health
        self._client = client
        self.expiry = GrantExpiryTracker(timing, {})
        # Set when the owner's renewal has ended.
        self.renewing: dict[Owner, asyncio.Event] = {}
        # When the last grant of each range that is not renewed any more has surely expired.
        self._free_at_s: dict[tuple[int, int], float] = {}

    def start_term(self, renews_until_s: Mapping[str, float]) -> None:
        """Begin a term; each earlier granter may renew until a time of its own, by name."""
        self.expiry = GrantExpiryTracker(self._timing, renews_until_s)

    def is_expiring(self, first: int, last: int) -> bool:
        """Return whether a range overlaps one that was not released, and so awaits expiry."""
        return any(a <= last and first <= b for a, b in self._free_at_s)

    @property
    def expiring_ranges(self) -> Collection[tuple[int, int]]:
        """All ranges that were not released, so that the expiry of their grants is awaited."""
        return self._free_at_s.keys()

    def expired_ranges(self, now_s: float) -> list[tuple[int, int]]:
        """Return the ranges that were not released and whose grants have expired."""
        return [key_range for key_range, free_at_s in self._free_at_s.items() if free_at_s <= now_s]

    def record_reassigned(self, first: int, last: int) -> None:
        """Record that a freed range has its new owner."""
        self._free_at_s.pop((first, last), None)

    def grants_expired(self, owner: Owner, ranges: Iterable[tuple[int, int]], now_s: float) -> bool:
        """Return whether an owner does not respond and its grants of ranges have expired."""
        return self._health.is_unresponsive(owner) and now_s >= self.expiry.grants_expired_at(
            owner.incarnation_id, ranges, now_s
        )

    async def free(self, move: Move, fence: int) -> tuple[bool, str | None]:
        """Release a range from its owner; return whether it is free, and the handover."""
        source, key_range = move.source, (move.first, move.last)
        now_s = self._session.now_s
        if source is None or self.grants_expired(source, [key_range], now_s):
            return True, None
        latest = self._view.latest_incarnation(source)
        if self._free_at_s.get(key_range, float("inf")) <= now_s:
            return True, None
        if source in self.renewing:
            await self.renewing[source].wait()
        try:
            released = await self._client(latest).release(move.first, move.last, fence)
        except GrantCallError as error:
            self._session.log.warning(
                "release not answered", step=error.step, peer=error.peer, reason=error.reason
            )
            # The range is not renewed any more, so its grant expires.
            now_s = self._session.now_s
            free_at_s = self.expiry.grants_expired_at(source.incarnation_id, [key_range], now_s)
            if latest == source:
                free_at_s = max(free_at_s, now_s + self._timing.max_ttl_s)
            self._free_at_s[key_range] = free_at_s
            return False, None
        free_at_s = self.expiry.release_complete_at(
            source.incarnation_id, *key_range, self._session.now_s
        )
        wait_s = free_at_s - self._session.now_s
        if wait_s > MAX_FREE_WAIT_S:
            self._free_at_s[key_range] = free_at_s
            return False, None
        await asyncio.sleep(max(0.0, wait_s))
        return True, released.handover


class ReleaseCalls:
    """Releases under way, each of which ends by itself, as it waits for running requests."""

    def __init__(self, releases: RangeReleases, on_end: Callable[[], None]) -> None:
        self._releases = releases
        self._on_end = on_end
        self._move_by_call: dict[asyncio.Task[tuple[bool, str | None]], Move] = {}

    def start(self, move: Move, fence: int) -> None:
        """Start to release a range from its owner under a fencing token."""
        call = asyncio.get_running_loop().create_task(self._free(move, fence))
        self._move_by_call[call] = move
        call.add_done_callback(lambda _: self._on_end())

    def take_ended(self) -> list[tuple[Move, bool, str | None]]:
        """Return the moves whose releases have ended, whether they are free, and the handovers."""
        ended = [(call, move) for call, move in self._move_by_call.items() if call.done()]
        for call, _ in ended:
            del self._move_by_call[call]
        return [(move, *call.result()) for call, move in ended]

    def cancel(self) -> None:
        """Cancel the releases that have not ended."""
        for call in self._move_by_call:
            call.cancel()

    async def _free(self, move: Move, fence: int) -> tuple[bool, str | None]:
        await asyncio.sleep(BLOCK_DELAY_S)
        return await self._releases.free(move, fence)
