"""Decide which daemon leads each backend server."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from fuchsiawell.ownership.assignment import ServerState
from fuchsiawell.ownership.evidence import HandedOver, ServerLost

if TYPE_CHECKING:
    from collections import Counter

    from fuchsiawell.core import DaemonId
    from fuchsiawell.ownership.assignment import ServerRecord
    from fuchsiawell.ownership.draft import Draft
    from fuchsiawell.ownership.evidence import Evidence, Fact

__all__ = ["able_leaders", "balance_leaders", "place_leaders", "replace_cut_off_leaders"]

OTHER_ZONE_COST = 2  # servers that a daemon of the server's own zone leads more than another


def able_leaders(draft: Draft, evidence: Evidence) -> list[DaemonId]:
    """Return the members that may be given servers to lead."""
    return [member for member in draft.members if _is_able(draft, evidence, member)]


def place_leaders(draft: Draft, evidence: Evidence, facts: frozenset[Fact]) -> None:
    """Replace, in one go, every leader that is lost, lapsed or leaving."""
    able = able_leaders(draft, evidence)
    counts = draft.led_counts()
    for server in sorted(draft.servers_by_id.values(), key=lambda s: s.id):
        if server.leader in able and server.successor is None:
            continue
        if _has_stopped(draft, evidence, server, facts):
            _replace_leader(draft, server, able, counts)
        elif server.successor not in able:
            _hand_over(draft, server, able, counts)


def balance_leaders(draft: Draft, evidence: Evidence) -> None:
    """Hand one server from the daemon that leads most to the one that leads fewest."""
    able = able_leaders(draft, evidence)
    counts = draft.led_counts()
    if len(able) < 2 or any(server.successor for server in draft.servers_by_id.values()):
        return
    most = max(able, key=lambda daemon: (counts[daemon], daemon))
    fewest = min(able, key=lambda daemon: (counts[daemon], daemon))
    if counts[most] - counts[fewest] < 2:
        return
    zone = evidence.zones_by_daemon.get(fewest)
    led = [s for s in draft.servers_by_id.values() if s.leader == most]
    server = min(led, key=lambda s: (s.zone != zone, s.id))
    draft.rebalanced = True
    draft.servers_by_id[server.id] = replace(server, successor=fewest)


def replace_cut_off_leaders(
    draft: Draft, evidence: Evidence, facts: frozenset[Fact]
) -> frozenset[Fact]:
    """Replace leaders that reach none of their servers while others do, and drop their reports.

    Such a leader is itself cut off; to lose all its servers would punish the wrong side.
    """
    lost = {f for f in facts if isinstance(f, ServerLost) and _is_present(draft, f)}
    able = able_leaders(draft, evidence)
    dropped: set[Fact] = set()
    for leader in able:
        led = [s for s in draft.servers_by_id.values() if _is_led(s, leader)]
        unreached = [s for s in led if ServerLost(s.id, s.term) in lost]
        if len(led) < 2 or len(unreached) < len(led):
            continue
        if not _others_reach_zones(draft, leader, {s.zone for s in led}, lost):
            continue
        others = [daemon for daemon in able if daemon != leader]
        counts = draft.led_counts()
        for server in unreached:
            dropped.add(ServerLost(server.id, server.term))
            _replace_leader(draft, server, others, counts)
    return facts - dropped


def _is_able(draft: Draft, evidence: Evidence, member: DaemonId) -> bool:
    return (
        member not in evidence.lost
        and member not in evidence.leaving
        and member not in evidence.inactive
        and member in draft.incarnations_by_member
    )


def _has_stopped(
    draft: Draft, evidence: Evidence, server: ServerRecord, facts: frozenset[Fact]
) -> bool:
    """Tell whether the present leader is proved to send nothing more under its term."""
    leader = server.leader
    if leader is None or leader not in draft.members or leader in evidence.lost:
        return True
    lapsed = evidence.incarnations_by_daemon.get(leader, 0) > draft.incarnations_by_member.get(
        leader, 0
    )
    if lapsed and (leader in evidence.inactive or leader in evidence.leaving):
        return True
    return server.successor is not None and HandedOver(server.id, server.term) in facts


def _hand_over(
    draft: Draft, server: ServerRecord, able: list[DaemonId], counts: Counter[DaemonId]
) -> None:
    """Ask a leader that may still send to stop; it is replaced once it stated that it did.

    A successor may then count on the grants of the earlier term to lapse.
    """
    if not able:
        return
    successor = _best(server, able, counts, draft)
    counts[successor] += 1
    if successor == server.leader:
        draft.lead(server, successor)
    else:
        draft.servers_by_id[server.id] = replace(server, successor=successor)


def _replace_leader(
    draft: Draft, server: ServerRecord, able: list[DaemonId], counts: Counter[DaemonId]
) -> None:
    if not able:
        return
    leader = server.successor if server.successor in able else _best(server, able, counts, draft)
    if leader != server.successor:
        counts[leader] += 1
    draft.lead(server, leader)


def _best(
    server: ServerRecord, able: list[DaemonId], counts: Counter[DaemonId], draft: Draft
) -> DaemonId:
    def cost(daemon: DaemonId) -> tuple[int, DaemonId]:
        same_zone = draft.zones_by_daemon.get(daemon) == server.zone
        return counts[daemon] + (0 if same_zone else OTHER_ZONE_COST), daemon

    return min(able, key=cost)


def _is_led(server: ServerRecord, leader: DaemonId) -> bool:
    return server.leader == leader and server.state is not ServerState.LOST


def _is_present(draft: Draft, fact: ServerLost) -> bool:
    server = draft.servers_by_id.get(fact.server)
    return server is not None and server.term == fact.term


def _others_reach_zones(
    draft: Draft, leader: DaemonId, zones: set[str], lost: set[ServerLost]
) -> bool:
    return any(
        server.zone in zones
        and server.leader != leader
        and server.state is not ServerState.LOST
        and ServerLost(server.id, server.term) not in lost
        for server in draft.servers_by_id.values()
    )
