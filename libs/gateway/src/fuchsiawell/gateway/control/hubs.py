"""Which daemon passes news and load reports on to this one, and to which this one does."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.balance import HUBS_PER_GROUP, GroupMember, group_daemons

if TYPE_CHECKING:
    from fuchsiawell.gateway.session.state import Peer, Session

__all__ = ["Hubs"]

# Silence after which a hub is given up, in seconds: a few of its repeated reports.
SILENT_S = 0.9
# A daemon that reported within this time is served as a follower, in seconds.
FOLLOWED_S = 1.5


class Hubs:
    """Follow the group that the known daemons form; the first hub that answers is used."""

    def __init__(self, session: Session) -> None:
        self._session = session
        self._version = -1
        self._me = session.settings.daemon
        self._group: tuple[str, ...] = (self._me,)
        self._others: tuple[str, ...] = ()
        self._choice = 0
        self._heard_s = 0.0
        self._followers: dict[str, float] = {}
        self.grouped = False

    def refresh(self) -> None:
        """Divide the daemons again if they have changed, and give up a hub that fell silent."""
        session = self._session
        if session.peers_version != self._version:
            self._version = session.peers_version
            self._divide()
        elif self.grouped and self.hub is not None and session.now_s - self._heard_s > SILENT_S:
            self.give_up("silent")

    @property
    def hub(self) -> Peer | None:
        """The daemon that this one reports to; None when it is a hub, or there is none."""
        if not self.grouped:
            return None
        return self._session.peers_by_name.get(self._group[self._choice])

    @property
    def other_hubs(self) -> list[Peer]:
        """The daemons that may be hubs of the other groups."""
        peers = self._session.peers_by_name
        return [peers[name] for name in self._others if name in peers]

    @property
    def followers(self) -> list[Peer]:
        """The daemons that report to this one."""
        now_s, peers = self._session.now_s, self._session.peers_by_name
        return [
            peers[name]
            for name, at_s in self._followers.items()
            if now_s - at_s < FOLLOWED_S and name in peers
        ]

    def heard_from_follower(self, name: str) -> None:
        """Note a report of a daemon that takes this one for its hub."""
        self._followers[name] = self._session.now_s

    def heard_from_hub(self, name: str) -> bool:
        """Note news from a daemon; returns whether it is the hub of this one."""
        hub = self.hub
        if hub is None or hub.name != name:
            return False
        self._heard_s = self._session.now_s
        return True

    def give_up(self, why: str) -> None:
        """Turn to the next daemon that may be a hub."""
        hubs = self._group[:HUBS_PER_GROUP]
        failed = hubs[self._choice]
        self._choice = (self._choice + 1) % len(hubs)
        self._heard_s = self._session.now_s
        self._session.log.event("hub given up", daemon=failed, why=why, next=hubs[self._choice])

    def _divide(self) -> None:
        session = self._session
        members = [
            GroupMember(peer.name, peer.zone, peer.strength)
            for peer in (session.me, *session.peers_by_name.values())
        ]
        groups = group_daemons(members)
        mine = next(group for group in groups if self._me in group)
        if mine[:HUBS_PER_GROUP] != self._group[:HUBS_PER_GROUP]:
            self._choice = 0
            self._heard_s = session.now_s
        self._group = mine
        self._others = tuple(
            name for group in groups if group != mine for name in group[:HUBS_PER_GROUP]
        )
        if self.grouped != (len(groups) > 1):
            self.grouped = len(groups) > 1
            session.log.event("daemons grouped", groups=len(groups), hub=mine[0])
        self._followers = {n: at_s for n, at_s in self._followers.items() if n in mine}
