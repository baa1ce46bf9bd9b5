"""Who knows the owners of keys that the store may have forgotten."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.shards import UNKNOWN_OWNERS

if TYPE_CHECKING:
    from fuchsiawell.gateway.session.state import Session

__all__ = ["COUNTERS_PER_ERA", "counter_floor", "knows_last_owners"]

# Terms and fences of an era of the store lie above its number times this, so that none is given out
# again when the store forgets the last ones. Fewer than these are given out in an era.
COUNTERS_PER_ERA = 2**32
# Terms and fences are stored in 62 bits.
MAX_ERA = 2**30 - 1


def counter_floor(era: int | None) -> int:
    """Return a number that all terms and fences of an era of the store are above."""
    return 0 if era is None else min(era, MAX_ERA) * COUNTERS_PER_ERA


def knows_last_owners(session: Session, service: str, era: int) -> bool:
    """Return whether this daemon knows owners of a service's keys of the time before an era.

    It does not know them by a map that it found in a copy of the store, nor by one whose owners
    were still waited for; as the granter it learns of its last moves when it ends. It may have
    missed the last ones if it was cut off.
    """
    since_era = session.era_knowledge.since_before(era)
    known = session.shard_maps.get(service)
    return (
        since_era is not None
        and known is not None
        and known.granter != UNKNOWN_OWNERS
        and known.next_fence > counter_floor(since_era)
        and service not in session.granting_terms
    )
