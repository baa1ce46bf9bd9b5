"""Who knows the owners of keys that the store may have forgotten, and what follows for counters."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.shards import UNKNOWN_OWNERS

if TYPE_CHECKING:
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.shards import ShardMap

__all__ = [
    "COUNTERS_PER_ERA",
    "MAX_COUNTED_ERA",
    "begins_era",
    "counter_floor",
    "first_counter_floor",
    "knows_last_owners",
]

# Terms and fences of an era of the store lie above its number times this, so that none is given out
# again when the store forgets the last ones. Fewer than these are given out in an era.
COUNTERS_PER_ERA = 2**32
# Terms and fences are stored in 62 bits, so that this holds up to this era only: a store may count
# from a large number. In later eras the store names the era of each map beside it.
MAX_COUNTED_ERA = 2**30 - 1
# In later eras terms and fences rise by this for each era since the newest map known: more than are
# given out in the seconds that a store forgets.
COUNTERS_PER_FORGOTTEN_ERA = 2**22
# Eras that may lie between the newest map known and this one.
MAX_FORGOTTEN_ERAS = 2**8
# Without any map known, they rise with as much of the number of a later era.
FIRST_MAP_ERAS = 2**20


def counter_floor(era: int | None) -> int:
    """Return a number that all terms and fences of an era of the store are above, 0 if unknown."""
    return era * COUNTERS_PER_ERA if era is not None and era <= MAX_COUNTED_ERA else 0


def begins_era(era: int | None, stored: ShardMap | None, map_era: int | None) -> bool:
    """Return whether a stored map is of an earlier era: it may lack what the store has forgotten.

    `map_era` is the era in which its term began, as the store names it in eras that are not
    counted.
    """
    if era is None:
        return False
    if stored is None:
        return True
    if era <= MAX_COUNTED_ERA:
        return stored.next_fence <= counter_floor(era)
    return map_era != era


def first_counter_floor(era: int, newest: ShardMap | None, map_era: int | None) -> int:
    """Return a number that is above all terms and fences of before an era that begins."""
    if era <= MAX_COUNTED_ERA:
        return counter_floor(era)
    if newest is None:
        return era % FIRST_MAP_ERAS * COUNTERS_PER_ERA
    eras = 1 if map_era is None else min(max(1, era - map_era), MAX_FORGOTTEN_ERAS)
    return max(newest.term, newest.next_fence) + eras * COUNTERS_PER_FORGOTTEN_ERA


def knows_last_owners(session: Session, service: str, era: int) -> bool:
    """Return whether this daemon knows owners of a service's keys of the time before an era.

    It does not know them by a map that it found in a copy of the store, nor by one whose owners
    were still waited for; as the granter it learns of its last moves when it ends. It may have
    missed the last ones if it was cut off.
    """
    since_era = session.era_knowledge.since_before(era)
    known = session.shard_maps.get(service)
    if since_era is None or known is None or known.granter == UNKNOWN_OWNERS:
        return False
    if since_era <= MAX_COUNTED_ERA:
        is_since = known.next_fence > counter_floor(since_era)
    else:
        map_era = session.era_knowledge.map_era(service)
        is_since = map_era is not None and map_era >= since_era
    return is_since and service not in session.granting_terms
