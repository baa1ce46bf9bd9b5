"""Heartbeats among the daemons of a cell: who may act, and who is proved to have stopped."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiawell.core import DaemonId

__all__ = [
    "CLOCK_MARGIN",
    "HEARTBEAT_S",
    "INACTIVE_S",
    "RIGHT_S",
    "SILENT_S",
    "Heartbeat",
    "Membership",
]

HEARTBEAT_S = 0.2  # a daemon sends one heartbeat to each member in this time
RIGHT_S = 0.7  # an echoed heartbeat gives the right to act for so long after it was sent
SILENT_S = 1.0  # a majority's common silence of this length proves a lapse; above RIGHT_S + margin
REPORT_S = 0.5  # members heard less recently than this are reported with their silence
INACTIVE_S = 0.6  # a member heard for so long without the right to act is passed over as leader
STALL_S = 0.5  # a daemon that did not run for so long has heard nobody through its own fault
CLOCK_MARGIN = 0.02  # share by which monotonic clocks of two hosts may differ in rate
KEPT_SENDS = 64  # sent heartbeats remembered; far more than fit into RIGHT_S


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tell a member that the sender runs, what it heard and what it holds; plain fields only."""

    sender: DaemonId
    zone: str
    incarnation: int
    sequence: int
    echo_incarnation: int  # incarnation and sequence of the last heartbeat from the addressee
    echo_sequence: int  # 0: none, or none that the sender may echo
    acting: bool  # whether the sender has the right to act
    leaving: bool  # whether the sender is stopping as planned
    has_store: bool  # whether the store answered the sender lately
    revision: int  # of the assignment that the sender holds
    members_version: int
    configuration_version: int
    silent_s_by_member: dict[DaemonId, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Peer:
    """Hold what is known of one daemon, by this daemon's clock."""

    heard_s: float
    heartbeat: Heartbeat | None = None
    echoed_sent_s: float = float("-inf")  # sending time of this daemon's last echoed heartbeat
    report_until_s: float = float("-inf")  # its reported silences reach at least up to here
    inactive_since_s: float | None = None


class Membership:
    """Decide the right to act of one daemon, and which members of its cell have lost theirs.

    The right needs a strict majority of members that echoed a heartbeat sent within RIGHT_S. A
    member is lost once a strict majority heard nothing of it through one common window of
    SILENT_S; every majority that could have echoed it has a member in that one, so its right
    had lapsed. Both hold under any delay of messages; only clock rates are trusted.
    """

    def __init__(self, self_id: DaemonId, zone: str, incarnation: int, now_s: float) -> None:
        """Start without members; `incarnation` should exceed any earlier one of this daemon."""
        self.self_id = self_id
        self.zone = zone
        self.incarnation = incarnation
        self.members: tuple[DaemonId, ...] = ()
        self.members_version = 0
        self.revision = 0
        self.configuration_version = 0
        self.leaving = False
        self.has_store = True
        self._confirmed = False
        self._sequence = 0
        self._sent_s_by_sequence: dict[int, float] = {}
        self._peers_by_id: dict[DaemonId, _Peer] = {}
        self._right_until_s = float("-inf")
        self._members_since_s = now_s
        self._last_run_s = now_s

    def set_members(
        self, members: tuple[DaemonId, ...], version: int, confirmed: bool, now_s: float
    ) -> None:
        """Take the member set of a newer record; `confirmed` when the store itself told it.

        Until the store told this process a record, it echoes nobody: a peer's record may be old,
        and an echo must not help a daemon that an agreed change has left behind.
        """
        self._observe(now_s)
        self._confirmed = self._confirmed or confirmed
        if version <= self.members_version:
            return
        self.members, self.members_version = members, version
        self._members_since_s = now_s
        for member in members:
            self._peers_by_id.setdefault(member, _Peer(heard_s=now_s))
        for peer in self._peers_by_id.values():
            if peer.inactive_since_s is not None:
                peer.inactive_since_s = now_s  # nobody could act by a set it did not know
        self._refresh(now_s)

    def heartbeats(self, now_s: float, others: Iterable[DaemonId]) -> dict[DaemonId, Heartbeat]:
        """Return the next heartbeat for each of `others`: members, and daemons that ask to join."""
        self._observe(now_s)
        self._forgive_own_stall(now_s)
        self._sequence += 1
        self._sent_s_by_sequence[self._sequence] = now_s
        self._sent_s_by_sequence.pop(self._sequence - KEPT_SENDS, None)
        self._refresh(now_s)
        silences = self._silences(now_s)
        return {id: self._heartbeat_for(id, silences, now_s) for id in others if id != self.self_id}

    def on_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Take a heartbeat of a member or of a daemon that asks to join."""
        self._observe(now_s)
        peer = self._peers_by_id.setdefault(heartbeat.sender, _Peer(heard_s=now_s))
        if peer.heartbeat is not None and _order(heartbeat) <= _order(peer.heartbeat):
            return
        peer.heard_s, peer.heartbeat = now_s, heartbeat
        if heartbeat.acting:
            peer.inactive_since_s = None
        elif peer.inactive_since_s is None:
            peer.inactive_since_s = now_s
        self._take_echo(peer, heartbeat, now_s)

    def has_right(self, now_s: float) -> bool:
        """Tell whether this daemon may act at this instant."""
        return now_s < self._right_until_s

    def right_until_s(self) -> float:
        """Return the instant at which the right lapses unless newer echoes come."""
        return self._right_until_s

    def lost_members(self, now_s: float) -> frozenset[DaemonId]:
        """Return the members whose right to act is proved to have lapsed within the last second."""
        self._observe(now_s)
        reported: set[DaemonId] = set()
        for member in self.members:
            heartbeat = self._peers_by_id[member].heartbeat
            if heartbeat is not None:
                reported.update(heartbeat.silent_s_by_member)
        reported.discard(self.self_id)
        return frozenset(m for m in reported if m in self.members and self._is_lost(m, now_s))

    def heard(self, now_s: float) -> dict[DaemonId, Heartbeat]:
        """Return the latest heartbeats of the daemons heard within SILENT_S, members or not."""
        return {
            id: peer.heartbeat
            for id, peer in self._peers_by_id.items()
            if peer.heartbeat is not None and now_s - peer.heard_s < SILENT_S
        }

    def inactive(self, now_s: float) -> frozenset[DaemonId]:
        """Return the daemons that are heard but had no right to act for INACTIVE_S."""
        return frozenset(
            id
            for id in self.heard(now_s)
            if (since_s := self._peers_by_id[id].inactive_since_s) is not None
            and now_s - since_s >= INACTIVE_S
        )

    def _observe(self, now_s: float) -> None:
        """Note a lapse before anything later could cover it up."""
        if self._right_until_s != float("-inf") and now_s >= self._right_until_s:
            self._start_incarnation(self.incarnation + 1)

    def _start_incarnation(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._right_until_s = float("-inf")
        self._sent_s_by_sequence.clear()
        for peer in self._peers_by_id.values():
            peer.echoed_sent_s = float("-inf")

    def _refresh(self, now_s: float) -> None:
        held = self._right_until_s != float("-inf")
        computed_s = self._computed_right_s()
        if now_s < computed_s:
            self._right_until_s = computed_s
        elif held:
            # A larger member set took the majority away.
            self._start_incarnation(self.incarnation + 1)

    def _computed_right_s(self) -> float:
        if self.self_id not in self.members:
            return float("-inf")
        needed = len(self.members) // 2  # others beside this daemon that make a strict majority
        if needed == 0:
            return float("inf")
        others = (id for id in self.members if id != self.self_id)
        sent = sorted((self._peers_by_id[id].echoed_sent_s for id in others), reverse=True)
        return sent[needed - 1] + RIGHT_S

    def _take_echo(self, peer: _Peer, heartbeat: Heartbeat, now_s: float) -> None:
        if heartbeat.echo_incarnation > self.incarnation:
            # An earlier process of this daemon had gone further: step over it.
            self._start_incarnation(heartbeat.echo_incarnation + 1)
            return
        if heartbeat.echo_incarnation != self.incarnation:
            return
        sent_s = self._sent_s_by_sequence.get(heartbeat.echo_sequence)
        if sent_s is None:
            return
        peer.echoed_sent_s = max(peer.echoed_sent_s, sent_s)
        peer.report_until_s = sent_s
        self._refresh(now_s)

    def _heartbeat_for(
        self, id: DaemonId, silences: dict[DaemonId, float], now_s: float
    ) -> Heartbeat:
        heard = self._peers_by_id[id].heartbeat if id in self._peers_by_id else None
        known_incarnation = 0 if heard is None else heard.incarnation
        return Heartbeat(
            sender=self.self_id,
            zone=self.zone,
            incarnation=self.incarnation,
            sequence=self._sequence,
            echo_incarnation=known_incarnation,
            echo_sequence=heard.sequence if heard is not None and self._may_echo(heard) else 0,
            acting=self.has_right(now_s),
            leaving=self.leaving,
            has_store=self.has_store,
            revision=self.revision,
            members_version=self.members_version,
            configuration_version=self.configuration_version,
            silent_s_by_member=silences,
        )

    def _may_echo(self, heard: Heartbeat) -> bool:
        return self._confirmed and heard.members_version >= self.members_version

    def _silences(self, now_s: float) -> dict[DaemonId, float]:
        return {
            id: now_s - self._peers_by_id[id].heard_s
            for id in self.members
            if id != self.self_id and now_s - self._peers_by_id[id].heard_s >= REPORT_S
        }

    def _forgive_own_stall(self, now_s: float) -> None:
        """Blame nobody for heartbeats that this daemon itself was too stalled to read."""
        stalled_s = now_s - self._last_run_s
        self._last_run_s = now_s
        if stalled_s < STALL_S:
            return
        for peer in self._peers_by_id.values():
            peer.heard_s = now_s

    def _is_lost(self, member: DaemonId, now_s: float) -> bool:
        windows = self._silence_windows(member, now_s)
        needed = len(self.members) // 2 + 1
        if len(windows) < needed:
            return False
        return any(
            sum(start <= end - SILENT_S and until >= end for start, until in windows) >= needed
            for _, end in windows
            if now_s - end < SILENT_S
        )

    def _silence_windows(self, member: DaemonId, now_s: float) -> list[tuple[float, float]]:
        """Return spans, by this clock, in which each reporting member surely heard nothing."""
        own = (max(self._peers_by_id[member].heard_s, self._members_since_s), now_s)
        windows = [own] if self._confirmed else []
        for id in self.members:
            peer = self._peers_by_id[id]
            if id in (self.self_id, member) or peer.heartbeat is None:
                continue
            silent_s = peer.heartbeat.silent_s_by_member.get(member)
            if silent_s is None or peer.heartbeat.members_version != self.members_version:
                continue
            start_s = peer.heard_s - silent_s * (1 - CLOCK_MARGIN)
            windows.append((max(start_s, self._members_since_s), peer.report_until_s))
        return windows


def _order(heartbeat: Heartbeat) -> tuple[int, int]:
    return heartbeat.incarnation, heartbeat.sequence
