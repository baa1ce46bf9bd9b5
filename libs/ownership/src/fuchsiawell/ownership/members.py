"""Decide the member set of a cell, and in which incarnation each member may lead."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.core import DaemonId
    from fuchsiawell.ownership.draft import Draft
    from fuchsiawell.ownership.evidence import Evidence

__all__ = ["change_members", "renew_incarnations"]


def renew_incarnations(draft: Draft, evidence: Evidence) -> None:
    """Give a member that lapsed or started again new terms for the servers that it leads.

    A higher incarnation is the member's own word that it dropped every earlier leadership.
    """
    for member in draft.members:
        incarnation = evidence.incarnations_by_daemon.get(member, 0)
        known = draft.incarnations_by_member.get(member, 0)
        if incarnation <= known or member not in evidence.acting:
            continue
        draft.incarnations_by_member[member] = incarnation
        for server in list(draft.servers_by_id.values()):
            if server.leader == member:
                draft.lead(server, member)


def change_members(draft: Draft, evidence: Evidence) -> None:
    """Add or remove one member, so that majorities before and after have a member in common.

    The next change waits until a majority holds this one: those then echo no daemon that it
    left behind, and majorities two changes apart need not meet.
    """
    holders = sum(member in evidence.up_to_date for member in draft.members)
    if holders <= len(draft.members) // 2:
        return
    joining = sorted(
        daemon
        for daemon in evidence.incarnations_by_daemon
        if daemon not in draft.members and daemon not in evidence.leaving
    )
    if joining:
        _set_members(draft, (*draft.members, joining[0]))
        return
    leaving = next((m for m in draft.members if _is_removable(draft, evidence, m)), None)
    if leaving is not None:
        _set_members(draft, tuple(m for m in draft.members if m != leaving))


def _is_removable(draft: Draft, evidence: Evidence, member: DaemonId) -> bool:
    stopped = member in evidence.lost or member in evidence.leaving
    led = draft.led_counts()
    leads = any(server.leader == member for server in draft.servers_by_id.values())
    return stopped and member != evidence.self_id and not leads and led[member] == 0


def _set_members(draft: Draft, members: tuple[DaemonId, ...]) -> None:
    draft.members = tuple(sorted(members))
    draft.members_version += 1
    for gone in set(draft.incarnations_by_member) - set(members):
        del draft.incarnations_by_member[gone]
