"""Choose the hubs that relay store changes and load reports to this daemon, and its followers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.balance import HUBS_PER_GROUP, GroupMember, group_daemons, may_follow

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from fuchsiawell.gateway.session.state import Peer, Session

__all__ = ["HubSelector"]

# A hub not heard from for this time is replaced: a few intervals of its repeated reports.
HUB_TIMEOUT_S = 0.9
# A daemon that reported within this time is served as a follower.
FOLLOWER_TIMEOUT_S = 1.5
# A hub of the first group that did not relay store changes is not asked again for this time: a hub
# that lost the store has detected it by then.
UPSTREAM_RETRY_S = 3.0


class HubSelector:
    """Track the group of this daemon; its first hub that responds is used."""

    def __init__(self, session: Session) -> None:
        self._session = session
        self._grouped_peers_version = -1
        self._own_name = session.settings.daemon
        self._group: tuple[str, ...] = (self._own_name,)
        self._other_hub_names: tuple[str, ...] = ()
        self._hub_index = 0
        self._hub_seen_s = 0.0
        self._follower_seen_s: dict[str, float] = {}
        # Daemons that may be hub of the first group; empty in that group.
        self._first_hub_names: tuple[str, ...] = ()
        self._upstream_name = ""
        # When hubs of other groups last reported, and when one of them last failed as upstream.
        self._group_report_s: dict[str, float] = {}
        self._upstream_failed_s: dict[str, float] = {}
        self.grouped = False

    def refresh(self) -> None:
        """Regroup if the known daemons have changed; otherwise replace a hub that timed out."""
        session = self._session
        if session.peers_version != self._grouped_peers_version:
            self._grouped_peers_version = session.peers_version
            self._regroup()
        elif (
            self.grouped
            and self.hub is not None
            and session.now_s - self._hub_seen_s > HUB_TIMEOUT_S
        ):
            self.fail_over("timed out")

    @property
    def hub(self) -> Peer | None:
        """The daemon that this one reports to; None if this is a hub or there are no groups."""
        if not self.grouped:
            return None
        return self._session.peers_by_name.get(self._group[self._hub_index])

    @property
    def group_hubs(self) -> list[Peer]:
        """Other daemons of this group that may be its hub."""
        peers = self._session.peers_by_name
        return [peers[name] for name in self._group[:HUBS_PER_GROUP] if name in peers]

    @property
    def other_hubs(self) -> list[Peer]:
        """Daemons that may be hubs of the other groups."""
        peers = self._session.peers_by_name
        return [peers[name] for name in self._other_hub_names if name in peers]

    @property
    def followers(self) -> list[Peer]:
        """Daemons that report to this one."""
        now_s, peers = self._session.now_s, self._session.peers_by_name
        return [
            peers[name]
            for name, seen_s in self._follower_seen_s.items()
            if now_s - seen_s < FOLLOWER_TIMEOUT_S and name in peers
        ]

    def on_follower_report(self, name: str) -> None:
        """Record a report from a daemon that uses this one as its hub."""
        self._follower_seen_s[name] = self._session.now_s

    def on_hub_report(self, name: str) -> bool:
        """Record a report from a daemon; return whether it is this daemon's hub."""
        hub = self.hub
        if hub is None or hub.name != name:
            return False
        self._hub_seen_s = self._session.now_s
        return True

    def on_group_report(self, name: str) -> None:
        """Record a report from a daemon that is a hub of another group."""
        if name in self._other_hub_names:
            self._group_report_s[name] = self._session.now_s

    def upstream(self, follower_names: AbstractSet[str]) -> Peer | None:
        """Return the hub from which this one gets store changes; None if it watches the store.

        That is the active hub of the first group, unless it is among this daemon's followers.
        """
        session = self._session
        own_member = _member(session.local_peer)
        # The one in use first, so that the feed does not change when another returns.
        for name in sorted(self._first_hub_names, key=lambda n: n != self._upstream_name):
            peer = session.peers_by_name.get(name)
            if (
                peer is not None
                and name not in follower_names
                and self._is_usable_upstream(name)
                and may_follow(own_member, _member(peer))
            ):
                self._upstream_name = name
                return peer
        return None

    def fail_upstream(self, failed: str, why: str) -> None:
        """Use another hub of the first group, or the store, for some time."""
        now_s = self._session.now_s
        self._upstream_failed_s[failed] = now_s
        usable = [name for name in self._first_hub_names if self._is_usable_upstream(name)]
        self._session.log.event(
            "hub given up", daemon=failed, why=why, next=usable[0] if usable else "store"
        )

    def _is_usable_upstream(self, name: str) -> bool:
        """Return whether a daemon is an active hub that has not failed lately."""
        now_s = self._session.now_s
        return (
            now_s - self._group_report_s.get(name, float("-inf")) <= HUB_TIMEOUT_S
            and now_s - self._upstream_failed_s.get(name, float("-inf")) >= UPSTREAM_RETRY_S
        )

    def fail_over(self, why: str) -> None:
        """Switch to the next daemon of the group that may be its hub."""
        hubs = self._group[:HUBS_PER_GROUP]
        failed = hubs[self._hub_index]
        self._hub_index = (self._hub_index + 1) % len(hubs)
        self._hub_seen_s = self._session.now_s
        self._session.log.event("hub given up", daemon=failed, why=why, next=hubs[self._hub_index])

    def _regroup(self) -> None:
        session = self._session
        members = [_member(peer) for peer in (session.local_peer, *session.peers_by_name.values())]
        groups = group_daemons(members)
        own_group = next(group for group in groups if self._own_name in group)
        if own_group[:HUBS_PER_GROUP] != self._group[:HUBS_PER_GROUP]:
            self._hub_index = 0
            self._hub_seen_s = session.now_s
        self._group = own_group
        self._other_hub_names = tuple(
            name for group in groups if group != own_group for name in group[:HUBS_PER_GROUP]
        )
        self._first_hub_names = () if own_group == groups[0] else groups[0][:HUBS_PER_GROUP]
        for times in (self._group_report_s, self._upstream_failed_s):
            for name in times.keys() - self._other_hub_names:
                del times[name]
        if self.grouped != (len(groups) > 1):
            self.grouped = len(groups) > 1
            session.log.event("daemons grouped", groups=len(groups), hub=own_group[0])
        self._follower_seen_s = {
            n: seen_s for n, seen_s in self._follower_seen_s.items() if n in own_group
        }


def _member(peer: Peer) -> GroupMember:
    return GroupMember(peer.name, peer.zone, peer.capacity_cores)
