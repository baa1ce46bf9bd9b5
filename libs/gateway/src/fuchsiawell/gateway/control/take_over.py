"""Begin a term of granting: owners from the stored map, and who may still grant before it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.shards import (
    UNKNOWN_GRANTER,
    PastGranters,
    initial_map,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fuchsiawell.gateway.control.server_view import ServerView
    from fuchsiawell.gateway.control.shard_map_record import ShardMapRecord
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.shards import GrantTiming, ShardMap

__all__ = ["TermStart", "take_over"]

# Delay before the map is read again after another write of it.
CONFLICT_DELAY_S = 0.02


@dataclass(frozen=True)
class TermStart:
    """The first map of a term, and until when earlier granters may renew, by name."""

    shard_map: ShardMap
    renews_until_s: Mapping[str, float]


async def take_over(
    session: Session,
    record: ShardMapRecord,
    view: ServerView,
    timing: GrantTiming,
) -> TermStart:
    """Store the map of the next term; raises GrantingLostError or StoreUnavailableError."""
    own_name = session.settings.daemon
    while True:
        stored, past = await record.read(), await record.read_past_granters()
        now_s = session.now_s
        renews_until_s: dict[str, float] = {}
        if stored is None:
            members = await view.wait_for_first_members()
            new_map = initial_map(record.service, own_name, members)
        else:
            new_map = stored.next_term(own_name)
            renews_until_s = _renews_until_s(stored, past, own_name, timing, now_s)
        remaining_s = {
            name: until_s - now_s for name, until_s in renews_until_s.items() if until_s > now_s
        }
        remaining_s[own_name] = timing.renew_without_store_s
        if await record.compare_and_swap(new_map, PastGranters(new_map.term, remaining_s)):
            return TermStart(new_map, renews_until_s)
        await asyncio.sleep(CONFLICT_DELAY_S)


def _renews_until_s(
    stored: ShardMap,
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
    longest_s = now_s + timing.renew_without_store_s
    if stored.granter not in ("", own_name):
        until_s[stored.granter] = longest_s
    recorded_term = 0 if past is None else past.term
    if recorded_term < stored.term - 1:
        # Daemons of an earlier release, which write no record, have granted in between.
        until_s[UNKNOWN_GRANTER] = longest_s
    return until_s
