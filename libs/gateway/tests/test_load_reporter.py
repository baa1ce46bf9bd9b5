"""In-flight counts are wrong if a relayed report is lost, or counted twice on its way through hubs.

A hub relays totals that include its followers' own counts, and a hub or a follower may go down.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any, cast

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control.hubs import FOLLOWER_TIMEOUT_S, HUB_TIMEOUT_S, HubSelector
from fuchsiawell.gateway.control.load_reporter import LoadReporter
from fuchsiawell.gateway.control.peer_messages import (
    GroupLoadReport,
    LoadReport,
    TermReport,
    TotalLoadReport,
)

from builders import session

if TYPE_CHECKING:
    from collections.abc import Collection

    from fuchsiawell.gateway.control.peer_messages import Message
    from fuchsiawell.gateway.session.state import Peer


class Daemon:
    """One daemon's load reporter; messages are delivered at once unless the receiver is down."""

    def __init__(self, network: Network, name: str, zone: str, cores: float) -> None:
        self.network = network
        self.session = session(network.clock, name)
        self.session.settings = replace(self.session.settings, zone=zone, cores=cores)
        self.hubs = HubSelector(self.session)
        self.reporter = LoadReporter(self.session, cast("Any", self), self.hubs)
        self.sent: list[Message] = []

    def send(self, peers: Collection[Peer], message: Message) -> None:
        for peer in peers:
            self.sent.append(message)
            self.network.deliver(self.session.settings.daemon, peer.name, message)

    def broadcast(self, message: Message) -> None:
        self.send(self.session.peers_by_name.values(), message)

    def report_once(self) -> None:
        self.hubs.refresh()
        if self.hubs.grouped:
            self.reporter._report_in_group(repeat_due=True)
        else:
            self.reporter._report_to_all(repeat_due=True)


class Network:
    def __init__(self, count: int, zones: int = 2) -> None:
        self.clock = ManualClock(1000.0)
        self.down: set[str] = set()
        self.by_name = {
            f"d-{n}": Daemon(self, f"d-{n}", f"z{n % zones}", 2.0 if n < 2 * zones else 0.4)
            for n in range(count)
        }
        for daemon in self.by_name.values():
            for other in self.by_name.values():
                if other is not daemon:
                    daemon.session.update_peer(other.session.local_peer)

    def deliver(self, sender: str, receiver: str, message: Message) -> None:
        if receiver in self.down or not isinstance(
            message, LoadReport | GroupLoadReport | TotalLoadReport
        ):
            return
        self.by_name[receiver].reporter.apply(sender, message)

    def run_rounds(self, count: int, step_s: float = 0.3) -> None:
        for _ in range(count):
            self.clock.advance(step_s)
            for name, daemon in self.by_name.items():
                if name not in self.down:
                    daemon.session.in_flight_counts.expire(daemon.session.now_s)
                    daemon.report_once()


def test_few_daemons_report_directly_to_each_other() -> None:
    network = Network(5)
    network.by_name["d-4"].session.in_flight_counts.started("i-1")
    network.run_rounds(1)
    assert all(
        daemon.session.in_flight_counts.total("i-1") == 1 for daemon in network.by_name.values()
    )


def test_grouped_daemons_count_each_in_flight_request_once() -> None:
    network = Network(60)
    for daemon in network.by_name.values():
        daemon.session.in_flight_counts.started("i-1")
    network.run_rounds(4)
    assert {d.session.in_flight_counts.total("i-1") for d in network.by_name.values()} == {60}
    network.by_name["d-59"].session.in_flight_counts.finished("i-1")
    network.run_rounds(3)
    assert {d.session.in_flight_counts.total("i-1") for d in network.by_name.values()} == {59}


def test_daemons_with_low_capacity_send_one_datagram_a_round() -> None:
    network = Network(60)
    network.run_rounds(4)
    for daemon in network.by_name.values():
        daemon.sent.clear()
    network.run_rounds(1)
    relaying = {name for name, daemon in network.by_name.items() if len(daemon.sent) > 1}
    assert relaying <= {"d-0", "d-1", "d-2", "d-3"}


def test_unresponsive_hub_is_replaced_by_the_second() -> None:
    network = Network(60)
    network.run_rounds(4)
    hub = network.by_name["d-59"].hubs.hub
    assert hub is not None
    network.down.add(hub.name)
    network.run_rounds(12)
    alive = [daemon for name, daemon in network.by_name.items() if name not in network.down]
    for daemon in alive:
        daemon.session.in_flight_counts.started("i-1")
    network.run_rounds(5)
    assert {daemon.session.in_flight_counts.total("i-1") for daemon in alive} == {59}
    second = network.by_name["d-59"].hubs.hub
    assert second is not None
    assert second.name != hub.name


def test_follower_that_stopped_reporting_is_sent_nothing() -> None:
    network = Network(60)
    network.run_rounds(4)
    hub = network.by_name["d-59"].hubs.hub
    assert hub is not None
    hubs = network.by_name[hub.name].hubs
    assert any(peer.name == "d-59" for peer in hubs.followers)
    network.down.add("d-59")
    network.run_rounds(1, FOLLOWER_TIMEOUT_S + HUB_TIMEOUT_S)
    assert not any(peer.name == "d-59" for peer in hubs.followers)


def test_changed_terms_are_sent_to_all_daemons_three_times() -> None:
    network = Network(60)
    daemon = network.by_name["d-59"]
    network.run_rounds(2)
    daemon.reporter._last_terms = {"s": 1}
    daemon.sent.clear()
    network.run_rounds(6)
    assert sum(isinstance(message, TermReport) for message in daemon.sent) == 3 * 59
