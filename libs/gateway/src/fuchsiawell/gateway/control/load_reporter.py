"""Report in-flight counts to the other daemons: directly, or through hubs when grouped."""

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
    from fuchsiawell.gateway.control.hubs import HubSelector
    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.session.state import Session

__all__ = ["LoadReporter"]

# A fraction of the usual service time, so that daemons see each other's requests while they run.
# At this interval the bytes that reports send between zones cost less than 1 % of what the requests
# of a day are worth.
REPORT_INTERVAL_S = 0.07
# Without changes a report is repeated this often.
REPEAT_INTERVAL_S = 0.5
# How many times a changed term is sent to all daemons when grouped: datagrams may be lost.
TERM_REPEATS = 3
# Source name of the counts that the hub relays.
HUB_TOTAL = "total"


class LoadReporter:
    """Send load reports, and apply those of other daemons."""

    def __init__(self, session: Session, peers: PeerMessenger, hubs: HubSelector) -> None:
        self._session = session
        self._peers = peers
        self._hubs = hubs
        self._last_counts: dict[int, int] = {}
        self._last_terms: dict[str, int] = {}
        self._term_repeats_left = 0
        self._last_report_s = 0.0
        # Counts last reported to the hub; subtracted from the total that it relays.
        self._reported_to_hub: dict[int, int] = {}

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self._hubs.refresh()
            now_s = self._session.now_s
            repeat_due = now_s - self._last_report_s >= REPEAT_INTERVAL_S
            if self._hubs.grouped:
                self._report_in_group(repeat_due)
            else:
                self._report_to_all(repeat_due)
            if repeat_due:
                self._last_report_s = now_s

    def apply(self, sender: str, message: LoadReport | GroupLoadReport | TotalLoadReport) -> None:
        """Apply a report from another daemon."""
        session, hubs = self._session, self._hubs
        match message:
            case LoadReport(counts):
                session.in_flight_counts.apply_report(sender, counts, session.now_s)
                if hubs.grouped:
                    hubs.on_follower_report(sender)
            case GroupLoadReport(counts):
                hubs.on_group_report(sender)
                if not hubs.grouped or hubs.hub is not None:
                    return
                session.in_flight_counts.apply_report(_group_source(sender), counts, session.now_s)
            case TotalLoadReport(counts):
                if not hubs.on_hub_report(sender):
                    return
                others = {
                    server: others_count
                    for server, count in counts.items()
                    if (others_count := count - self._reported_to_hub.get(server, 0)) > 0
                }
                session.in_flight_counts.apply_report(HUB_TOTAL, others, session.now_s)
        session.wake_for_free_slots()

    def _report_to_all(self, repeat_due: bool) -> None:
        counts, terms = self._session.in_flight_counts.own_report(), self._current_terms()
        if terms != self._last_terms or (repeat_due and counts):
            # Terms change rarely; they are repeated now and then, in case a datagram was lost.
            self._last_terms = terms
            self._peers.broadcast(LoadReport(counts, terms))
        elif counts != self._last_counts:
            self._peers.broadcast(LoadReport(counts, {}))
        self._last_counts = counts

    def _report_in_group(self, repeat_due: bool) -> None:
        """Report the group's counts to the hub or the other hubs, and the total to followers."""
        self._report_terms(repeat_due)
        in_flight_counts, hubs = self._session.in_flight_counts, self._hubs
        followers = hubs.followers
        group_counts = in_flight_counts.combined_report([peer.name for peer in followers])
        if group_counts != self._last_counts or repeat_due:
            self._last_counts = group_counts
            if (hub := hubs.hub) is not None:
                self._reported_to_hub = group_counts
                self._peers.send([hub], LoadReport(group_counts, {}))
            else:
                in_flight_counts.discard_report(HUB_TOTAL)
                self._peers.send(hubs.other_hubs, GroupLoadReport(group_counts))
        if followers:
            self._peers.send(followers, TotalLoadReport(in_flight_counts.full_report()))

    def _report_terms(self, repeat_due: bool) -> None:
        terms = self._current_terms()
        if terms != self._last_terms:
            self._last_terms, self._term_repeats_left = terms, TERM_REPEATS
        elif not repeat_due:
            return
        if self._term_repeats_left:
            self._term_repeats_left -= 1
            self._peers.broadcast(TermReport(terms))

    def _current_terms(self) -> dict[str, int]:
        """Return the latest terms; a daemon that still grants in an earlier one reports that."""
        session = self._session
        return {
            name: min(shard_map.term, session.granting_terms.get(name, shard_map.term))
            for name, shard_map in session.shard_maps.items()
        }


def _group_source(hub: str) -> str:
    return f"group of {hub}"
