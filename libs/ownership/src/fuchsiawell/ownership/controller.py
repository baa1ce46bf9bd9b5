"""Decide the next assignment record of a cell, as a pure function of record and evidence."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from fuchsiawell.ownership.assignment import Assignment
from fuchsiawell.ownership.draft import Draft
from fuchsiawell.ownership.leaders import balance_leaders, place_leaders, replace_cut_off_leaders
from fuchsiawell.ownership.members import change_members, renew_incarnations
from fuchsiawell.ownership.placement import (
    add_shards,
    drain_servers,
    fill_joining_servers,
    finish_moves,
    grant_requests,
    place_shards,
)
from fuchsiawell.ownership.servers import list_servers, mark_servers
from fuchsiawell.platform import ENTRY_ROLE

if TYPE_CHECKING:
    from fuchsiawell.core import CellName
    from fuchsiawell.ownership.evidence import CellSettings, Evidence, Fact

__all__ = ["TAKEOVER_STEP_S", "decide", "first_assignment", "may_decide", "may_write_first"]

TAKEOVER_STEP_S = 0.3  # each live member waits so long after the one ranked before it
GATHER_S = 1.0  # a daemon that finds no record hears its peers for so long before it writes one
GATHER_ALL_S = 5.0  # up to then only if it hears every daemon that the host list names
GATHER_LIMIT_S = 20.0  # up to then only if it hears most of them


def first_assignment(cell: CellName, evidence: Evidence, settings: CellSettings) -> Assignment:
    """Return the record of a new cell, to be written only where the store holds none.

    All daemons heard so far are its members; the hosts listed so far its servers.
    """
    evidence = replace(evidence, inactive=frozenset())  # without members nobody can act
    members = tuple(sorted({*evidence.incarnations_by_daemon, evidence.self_id}))
    draft = Draft(Assignment(cell, evidence.self_id, 1, members))
    draft.zones_by_daemon = evidence.zones_by_daemon
    draft.incarnations_by_member = dict(evidence.incarnations_by_daemon)
    add_shards(draft, settings)
    list_servers(draft, evidence, settings)
    place_leaders(draft, evidence, frozenset())
    place_shards(draft)
    return draft.finish() or Assignment(cell, evidence.self_id, 1, members)


def may_write_first(evidence: Evidence) -> bool:
    """Tell whether this daemon may write the record of a new cell by now.

    A cell whose first members are few is lost with them: the listed daemons are waited for, all
    of them at first, then most of them, then none. Ranks keep daemons from writing all at once.
    """
    rank = sum(daemon < evidence.self_id for daemon in evidence.incarnations_by_daemon)
    waited_s = evidence.started_for_s - rank * TAKEOVER_STEP_S
    listed = sum(host.role == ENTRY_ROLE for host in evidence.hosts)
    heard = len(evidence.incarnations_by_daemon)
    if waited_s < GATHER_S or not evidence.hosts:
        return False
    if waited_s < GATHER_ALL_S:
        return heard >= listed
    return heard > listed // 2 or waited_s >= GATHER_LIMIT_S


def decide(
    assignment: Assignment, evidence: Evidence, settings: CellSettings, now_s: float
) -> Assignment | None:
    """Return the record to compare-and-swap next, or `None` where nothing is to change.

    The result is true of `assignment.revision` only: two controllers at once are harmless, since
    the store takes one of their writes. Whatever a loss forces is in one record, however many
    servers and shards it touches.
    """
    if not may_decide(assignment, evidence):
        return None
    draft = Draft(assignment)
    draft.zones_by_daemon = evidence.zones_by_daemon
    _take_over(draft, evidence)
    facts = _facts(evidence)
    renew_incarnations(draft, evidence)
    list_servers(draft, evidence, settings, facts)
    add_shards(draft, settings)
    facts = replace_cut_off_leaders(draft, evidence, facts)
    mark_servers(draft, facts)
    place_leaders(draft, evidence, facts)
    finish_moves(draft, facts)
    place_shards(draft)
    drain_servers(draft)
    grant_requests(draft, evidence.requests)
    if now_s - evidence.rebalanced_s >= settings.rebalance_s:
        fill_joining_servers(draft, facts)
        balance_leaders(draft, evidence)
    change_members(draft, evidence)
    return draft.finish()


def may_decide(assignment: Assignment, evidence: Evidence) -> bool:
    """Tell whether it is this daemon's turn: it hears a majority, and nobody before it decides."""
    self_id = evidence.self_id
    if not evidence.has_right or self_id not in assignment.members:
        return False
    controller = assignment.controller
    if controller == self_id:
        return True
    if controller in evidence.leaving | evidence.inactive | evidence.cut_from_store:
        return _rank(assignment, evidence) == 0
    if controller in assignment.members and evidence.controller_lost_for_s is None:
        return False
    lost_for_s = evidence.controller_lost_for_s or 0.0
    return lost_for_s >= _rank(assignment, evidence) * TAKEOVER_STEP_S


def _rank(assignment: Assignment, evidence: Evidence) -> int:
    """Return how many live members come before this daemon as the next controller."""
    unable = evidence.lost | evidence.leaving | evidence.inactive | evidence.cut_from_store
    live = [
        member
        for member in assignment.members
        if member in evidence.incarnations_by_daemon and member not in unable
    ]
    return sum(member < evidence.self_id for member in live)


def _take_over(draft: Draft, evidence: Evidence) -> None:
    if draft.controller != evidence.self_id:
        draft.controller = evidence.self_id
        draft.controller_term += 1


def _facts(evidence: Evidence) -> frozenset[Fact]:
    return frozenset().union(*evidence.facts_by_daemon.values())
