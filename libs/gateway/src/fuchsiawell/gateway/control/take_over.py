"""Begin a term of granting: owners from the newest map known, and who may still grant before it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.last_owners import (
    begins_era,
    counter_floor,
    first_counter_floor,
    knows_last_owners,
)
from fuchsiawell.gateway.ports import StoreUnavailableError
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

__all__ = ["TermStart", "take_over"]

# Delay before the map is read again after another write of it.
CONFLICT_DELAY_S = 0.02
# Interval between records of how long owners that no map names are still waited for.
WAIT_RECORD_INTERVAL_S = 2.0


@dataclass(frozen=True)
class TermStart:
    """The first map of a term, and until when earlier granters may renew, by name."""

    shard_map: ShardMap
    renews_until_s: Mapping[str, float]


async def take_over(
    session: Session,
    record: ShardMapRecord,
    view: ServerView,
    peers: PeerMessenger,
    timing: GrantTiming,
) -> TermStart:
    """Store the map of the next term; raises GrantingLostError or StoreUnavailableError.

    Waits before while a server that no known map names may own any key.
    """
    own_name = session.settings.daemon
    waited_in_term = 0
    while True:
        stored, past = await record.read(), await record.read_past_granters()
        map_era = await record.read_map_era()
        is_first = begins_era(record.era, stored, map_era)
        floor = counter_floor(record.era)
        newest, owners_known = stored, True
        if is_first:
            newest, owners_known = await _newest_map(record, stored, session, peers)
            assert record.era is not None
            floor = first_counter_floor(record.era, newest, map_era)
        now_s = session.now_s
        renews_until_s: dict[str, float] = {}
        if newest is not None:
            renews_until_s = _renews_until_s(stored, past, own_name, timing, now_s)
        if is_first:
            renews_until_s[UNKNOWN_GRANTER] = now_s + timing.renew_without_store_s
        if not owners_known:
            renews_until_s[UNKNOWN_OWNERS] = now_s + timing.renew_without_store_s + timing.max_ttl_s
        elif stored is not None and stored.term == waited_in_term:
            renews_until_s.pop(UNKNOWN_OWNERS, None)
        waits = UNKNOWN_OWNERS in renews_until_s
        if newest is None:
            members = await view.wait_for_first_members()
            new_map = initial_map(record.service, own_name, members)
            if floor:
                new_map = new_map.next_term(own_name, floor)
        else:
            new_map = newest.next_term(UNKNOWN_OWNERS if waits else own_name, floor)
        remaining_s = _remaining_s(renews_until_s, now_s)
        remaining_s[own_name] = timing.renew_without_store_s
        if not await record.compare_and_swap(new_map, PastGranters(new_map.term, remaining_s)):
            await asyncio.sleep(CONFLICT_DELAY_S)
            continue
        if not waits:
            if record.era is not None:
                session.era_knowledge.record_map_era(record.service, record.era)
            return TermStart(new_map, renews_until_s)
        if await _wait_for_owners(record, new_map, renews_until_s, session):
            waited_in_term = new_map.term


async def _wait_for_owners(
    record: ShardMapRecord,
    waiting_map: ShardMap,
    renews_until_s: Mapping[str, float],
    session: Session,
) -> bool:
    """Wait until the grants to servers that no known map names have expired.

    What is left is recorded, for a successor; return whether nobody else has written meanwhile.
    """
    until_s = renews_until_s[UNKNOWN_OWNERS]
    session.log.warning(
        "no keys granted yet",
        service=record.service,
        why="the store may have forgotten their owners, and most daemons do not know them",
        wait_ms=round(1000 * (until_s - session.now_s)),
    )
    while (left_s := until_s - session.now_s) > 0:
        await asyncio.sleep(min(left_s, WAIT_RECORD_INTERVAL_S))
        past = PastGranters(waiting_map.term, _remaining_s(renews_until_s, session.now_s))
        try:
            if not await record.compare_and_swap(waiting_map, past):
                return False
        except StoreUnavailableError as error:
            session.log.warning(
                "wait not recorded", step=error.step, peer=error.peer, reason=error.reason
            )
            if error.maybe_applied:
                return False
    return True


def _remaining_s(renews_until_s: Mapping[str, float], now_s: float) -> dict[str, float]:
    return {name: until_s - now_s for name, until_s in renews_until_s.items() if until_s > now_s}


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
        if stored.granter not in ("", own_name, UNKNOWN_OWNERS):
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

    Also return whether these are the owners of just before the era: most daemons have known them
    then. One alone may have missed the last moves, while it was cut off. A copy without a map
    counts as whole: the service may never have been granted before.
    """
    service, era = record.service, record.era
    assert era is not None
    known = session.shard_maps.get(service)
    maps = [shard_map for shard_map in (stored, known) if shard_map is not None]
    newest = max(maps, key=lambda m: (m.term, m.next_fence), default=None)
    min_fence = 0 if newest is None else newest.next_fence
    newer = await peers.request_assignments(service, min_fence, era)
    own = session.assignment_replicas.complete(service, newest)
    witnesses = newer.witnesses + knows_last_owners(session, service, era)
    owners_known = stored is None or 2 * witnesses > session.daemon_count
    assignments = newer.in_order
    session.log.event(
        "owners asked of other daemons",
        service=service,
        era=era,
        stored_term=None if stored is None else stored.term,
        known_term=None if known is None else known.term,
        min_fence=min_fence,
        newer=len(assignments),
        witnesses=witnesses,
        daemons=session.daemon_count,
    )
    if own is None:
        if not assignments:
            return None, owners_known
        nobody = Assignment(0, KEY_COUNT - 1, 0, None)
        own = ShardMap(service, "", 0, 1, (nobody,))
    return own.merge_newer(assignments), owners_known
