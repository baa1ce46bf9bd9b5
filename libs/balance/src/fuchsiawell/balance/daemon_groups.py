"""Divide daemons into groups with a hub each, so that messages grow by group and not by pair."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["GROUP_SIZE", "HUBS_PER_GROUP", "GroupMember", "group_daemons"]

# Most daemons that all talk to each other, and most to a group. Each report costs its receiver some
# 30 us; 24 daemons that report 14 times a second cost each other 1 in 100 of a core.
GROUP_SIZE = 24
# Daemons of a group that may be its hub, by rank: the second stands in for the first.
HUBS_PER_GROUP = 2


@dataclass(frozen=True)
class GroupMember:
    """A daemon, where it runs and how much it can bear, in cores."""

    name: str
    zone: str
    strength: float


def group_daemons(members: Iterable[GroupMember]) -> list[tuple[str, ...]]:
    """Return the groups, each with its strongest daemons first; one group when they are few.

    All daemons that know the same members get the same groups. A group lies in one availability
    zone, so that only hubs send between zones.
    """
    everyone = sorted(members, key=_rank)
    if len(everyone) <= GROUP_SIZE:
        return [tuple(member.name for member in everyone)]
    by_zone: dict[str, list[GroupMember]] = {}
    for member in everyone:
        by_zone.setdefault(member.zone, []).append(member)
    groups: dict[tuple[str, int], list[str]] = {}
    for zone, local in sorted(by_zone.items()):
        count = -(-len(local) // GROUP_SIZE)
        for place, member in enumerate(local):
            # The strongest are dealt out as hubs; the rest go by name and not by place in the
            # order, so that they stay where they are when others come.
            number = place if place < count * HUBS_PER_GROUP else _spread(member.name)
            groups.setdefault((zone, number % count), []).append(member.name)
    return [tuple(groups[key]) for key in sorted(groups)]


def _rank(member: GroupMember) -> tuple[float, int, str]:
    return (-member.strength, _spread(member.name), member.name)


def _spread(name: str) -> int:
    return zlib.crc32(name.encode())
