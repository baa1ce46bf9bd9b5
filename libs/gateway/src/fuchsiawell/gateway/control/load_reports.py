"""Tell the other daemons what each server has in hand: directly, or in groups through hubs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.peer_messages import (
    GroupLoadReport,
    LoadReport,
    TermReport,
    TotalLoadReport,
)

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.hubs import Hubs
    from fuchsiawell.gateway.control.peers import Peers
    from fuchsiawell.gateway.session.state import Session

__all__ = ["LoadReporter"]

# Between two load reports, in seconds: a fraction of the usual work time, so that daemons see each
# other's requests while they run, at under 1 in 100 of the day's worth in bytes between zones.
REPORT_S = 0.07
# Without changes a report is repeated this often.
REPEAT_S = 0.5
# How often news of a term is sent to all where daemons are grouped: datagrams may be lost.
TERM_REPEATS = 3
# What the loads call the counts that the hub passes on.
TOTAL = "total"


class LoadReporter:
    """Report loads, and take the reports of others."""

    def __init__(self, session: Session, peers: Peers, hubs: Hubs) -> None:
        self._session = session
        self._peers = peers
        self._hubs = hubs
        self._last_counts: dict[int, int] = {}
        self._last_terms: dict[str, int] = {}
        self._terms_left = 0
        self._last_report_at = 0.0
        # What the hub was told last, to be taken off the total that it passes on.
        self._told_hub: dict[int, int] = {}

    async def run(self) -> None:
        """Report for ever."""
        while True:
            await asyncio.sleep(REPORT_S)
            self._hubs.refresh()
            now_s = self._session.now_s
            due = now_s - self._last_report_at >= REPEAT_S
            if self._hubs.grouped:
                self._report_in_group(due)
            else:
                self._report_to_all(due)
            if due:
                self._last_report_at = now_s

    def apply(self, sender: str, message: LoadReport | GroupLoadReport | TotalLoadReport) -> None:
        """Take a report."""
        session, hubs = self._session, self._hubs
        match message:
            case LoadReport(counts):
                session.loads.heard(sender, counts, session.now_s)
                if hubs.grouped:
                    hubs.heard_from_follower(sender)
            case GroupLoadReport(counts):
                if not hubs.grouped or hubs.hub is not None:
                    return
                session.loads.heard(_group(sender), counts, session.now_s)
            case TotalLoadReport(counts):
                if not hubs.heard_from_hub(sender):
                    return
                others = {
                    server: left
                    for server, count in counts.items()
                    if (left := count - self._told_hub.get(server, 0)) > 0
                }
                session.loads.heard(TOTAL, others, session.now_s)
        session.wake_for_room()

    def _report_to_all(self, due: bool) -> None:
        counts, terms = self._session.loads.report(), self._terms()
        if terms != self._last_terms or (due and counts):
            # Terms change rarely; they go along now and then, in case a datagram was lost.
            self._last_terms = terms
            self._peers.broadcast(LoadReport(counts, terms))
        elif counts != self._last_counts:
            self._peers.broadcast(LoadReport(counts, {}))
        self._last_counts = counts

    def _report_in_group(self, due: bool) -> None:
        """Report upwards what this daemon and its followers have; downwards, everything."""
        self._report_terms(due)
        loads, hubs = self._session.loads, self._hubs
        followers = hubs.followers
        below = loads.together([peer.name for peer in followers])
        if below != self._last_counts or due:
            self._last_counts = below
            if (hub := hubs.hub) is not None:
                self._told_hub = below
                self._peers.send([hub], LoadReport(below, {}))
            else:
                loads.forget(TOTAL)
                self._peers.send(hubs.other_hubs, GroupLoadReport(below))
        if followers:
            self._peers.send(followers, TotalLoadReport(loads.everything()))

    def _report_terms(self, due: bool) -> None:
        terms = self._terms()
        if terms != self._last_terms:
            self._last_terms, self._terms_left = terms, TERM_REPEATS
        elif not due:
            return
        if self._terms_left:
            self._terms_left -= 1
            self._peers.broadcast(TermReport(terms))

    def _terms(self) -> dict[str, int]:
        return {name: shard_map.term for name, shard_map in self._session.shard_maps.items()}


def _group(hub: str) -> str:
    return f"group of {hub}"
