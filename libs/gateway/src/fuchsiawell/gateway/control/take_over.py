"""Begin a term of granting: owners from the newest map known, and who may still grant before it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.shards import (
    KEY_COUNT,
    UNKNOWN_GRANTER,
    UNKNOWN_OWNERS,
    Assignment,
    PastGranters,
    ShardMap,
    initial_map,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.control.server_view import ServerView
    from fuchsiawell.gateway.control.shard_map_record import ShardMapRecord
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.shards import GrantTiming

__all__ = ["TermStart", "counter_floor", "take_over", "wait_for_unknown_owners"]

# Terms and fences of an era of the store lie above its number times this, so that none is given out
# again when the store forgets the last ones. Fewer than these are given out in an era.
COUNTERS_PER_ERA = 2**32
# Terms and fences are stored in 62 bits.
MAX_ERA = 2**30 - 1
# Delay before the map is read again after another write of it.
CONFLICT_DELAY_S = 0.02


@dataclass(frozen=True)
class TermStart:
    """The first map of a term, and until when earlier granters may renew, by name."""

    shard_map: ShardMap
    renews_until_s: Mapping[str, float]

    @property
    def owners_known_from_s(self) -> float:
        """Monotonic time before which servers that the map does not name may own keys."""
        return self.renews_until_s.get(UNKNOWN_OWNERS, float("-inf"))


def counter_floor(era: int | None) -> int:
    """Return a number that all terms and fences of an era of the store are above."""
    return 0 if era is None else min(era, MAX_ERA) * COUNTERS_PER_ERA


async def take_over(
    session: Session,
    record: ShardMapRecord,
    view: ServerView,
    peers: PeerMessenger,
    timing: GrantTiming,
) -> TermStart:
    """Store the map of the next term; raises GrantingLostError or StoreUnavailableError."""
    own_name = session.settings.daemon
    while True:
        stored, past = await record.read(), await record.read_past_granters()
        floor = counter_floor(record.era)
        # The stored map may lack what the store has forgotten.
        begins_era = record.era is not None and (stored is None or stored.next_fence <= floor)
        newest, witnessed = stored, True
        if begins_era:
            newest, witnessed = await _newest_map(record, stored, session, peers)
        now_s = session.now_s
        renews_until_s: dict[str, float] = {}
        if newest is None:
            members = await view.wait_for_first_members()
            new_map = initial_map(record.service, own_name, members)
            if floor:
                new_map = new_map.next_term(own_name, floor)
        else:
            new_map = newest.next_term(own_name, floor)
            renews_until_s = _renews_until_s(stored, past, own_name, timing, now_s)
        if begins_era:
            renews_until_s[UNKNOWN_GRANTER] = now_s + timing.renew_without_store_s
        if not witnessed:
            renews_until_s[UNKNOWN_OWNERS] = now_s + timing.renew_without_store_s + timing.max_ttl_s
        remaining_s = {
            name: until_s - now_s for name, until_s in renews_until_s.items() if until_s > now_s
        }
        remaining_s[own_name] = timing.renew_without_store_s
        if await record.compare_and_swap(new_map, PastGranters(new_map.term, remaining_s)):
            return TermStart(new_map, renews_until_s)
        await asyncio.sleep(CONFLICT_DELAY_S)


async def wait_for_unknown_owners(
    start: TermStart, session: Session, record: ShardMapRecord
) -> None:
    """Wait while a server that the map does not name may own any key; raises GrantingLostError.

    That is so where the store has forgotten the last owners and no daemon is left that knew them.
    """
    wait_s = start.owners_known_from_s - session.now_s
    if wait_s <= 0:
        return
    session.log.warning(
        "no keys granted yet",
        service=record.service,
        why="the store may have forgotten their owners, and no daemon knows them",
        wait_ms=round(1000 * wait_s),
    )
    await asyncio.sleep(wait_s)
    # The process may have stood still, and another daemon may grant by now.
    await record.confirm(start.shard_map.term)


def _renews_until_s(
    stored: ShardMap | None,
    past: PastGranters | None,
    own_name: str,
    timing: GrantTiming,
    now_s: float,
) -> dict[str, float]:
    """Return until when each granter of the stored terms may renew, as far as is known."""
    # Earlier terms of this daemon have ended, as have those that are not named.
    until_s = {own_name: now_s}
    if past is not None:
        until_s |= {
            name: now_s + remaining_s
            for name, remaining_s in past.remaining_s_by_name.items()
            if name != own_name
        }
    if stored is not None:
        longest_s = now_s + timing.renew_without_store_s
        if stored.granter not in ("", own_name):
            until_s[stored.granter] = longest_s
        recorded_term = 0 if past is None else past.term
        if recorded_term < stored.term - 1:
            # Daemons of an earlier release, which write no record, have granted in between.
            until_s[UNKNOWN_GRANTER] = longest_s
    return until_s


async def _newest_map(
    record: ShardMapRecord, stored: ShardMap | None, session: Session, peers: PeerMessenger
) -> tuple[ShardMap | None, bool]:
    """Return the stored map with all newer assignments that a daemon in touch knows.

    Also return whether such a daemon has known the last of them. A copy without a map counts as
    whole: the service may never have been granted before.
    """
    service, era = record.service, record.era
    assert era is not None
    known = session.shard_maps.get(service)
    maps = [shard_map for shard_map in (stored, known) if shard_map is not None]
    newest = max(maps, key=lambda m: (m.term, m.next_fence), default=None)
    min_fence = 0 if newest is None else newest.next_fence
    newer = await peers.request_assignments(service, min_fence, era)
    witnessed = (
        stored is None
        or newer.witnessed
        or (
            known is not None and session.era_knowledge.covers_time_before(era, session.store_age_s)
        )
    )
    assignments = newer.in_order
    if newest is None:
        if not assignments:
            return None, witnessed
        nobody = Assignment(0, KEY_COUNT - 1, 0, None)
        newest = ShardMap(service, "", 0, 1, (nobody,))
    return newest.merge_newer(assignments), witnessed
