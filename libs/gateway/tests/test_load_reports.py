"""Daemons in groups know what the others have in hand, through hubs."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any, cast

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control.hubs import FOLLOWED_S, SILENT_S, Hubs
from fuchsiawell.gateway.control.load_reports import LoadReporter
from fuchsiawell.gateway.control.peer_messages import (
    GroupLoadReport,
    LoadReport,
    TermReport,
    TotalLoadReport,
)

from parts import session

if TYPE_CHECKING:
    from collections.abc import Collection

    from fuchsiawell.gateway.control.peer_messages import Message
    from fuchsiawell.gateway.session.state import Peer


class Daemon:
    """One daemon's reports; what it sends is delivered at once, unless its receiver is down."""

    def __init__(self, net: Net, name: str, zone: str, cores: float) -> None:
        self.net = net
        self.session = session(net.clock, name)
        self.session.settings = replace(self.session.settings, zone=zone, cores=cores)
        self.hubs = Hubs(self.session)
        self.reports = LoadReporter(self.session, cast("Any", self), self.hubs)
        self.sent: list[Message] = []

    def send(self, peers: Collection[Peer], message: Message) -> None:
        for peer in peers:
            self.sent.append(message)
            self.net.deliver(self.session.settings.daemon, peer.name, message)

    def broadcast(self, message: Message) -> None:
        self.send(self.session.peers_by_name.values(), message)

    def tick(self) -> None:
        self.hubs.refresh()
        if self.hubs.grouped:
            self.reports._report_in_group(due=True)
        else:
            self.reports._report_to_all(due=True)


class Net:
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
                    daemon.session.put_peer(other.session.me)

    def deliver(self, sender: str, receiver: str, message: Message) -> None:
        if receiver in self.down or not isinstance(
            message, LoadReport | GroupLoadReport | TotalLoadReport
        ):
            return
        self.by_name[receiver].reports.apply(sender, message)

    def rounds(self, count: int, step_s: float = 0.3) -> None:
        for _ in range(count):
            self.clock.advance(step_s)
            for name, daemon in self.by_name.items():
                if name not in self.down:
                    daemon.session.loads.expire(daemon.session.now_s)
                    daemon.tick()


def test_few_daemons_tell_each_other_directly() -> None:
    net = Net(5)
    net.by_name["d-4"].session.loads.started("i-1")
    net.rounds(1)
    assert all(daemon.session.loads.total("i-1") == 1 for daemon in net.by_name.values())


def test_in_groups_everyone_knows_what_everyone_has_and_counts_its_own_once() -> None:
    net = Net(60)
    for daemon in net.by_name.values():
        daemon.session.loads.started("i-1")
    net.rounds(4)
    assert {d.session.loads.total("i-1") for d in net.by_name.values()} == {60}
    net.by_name["d-59"].session.loads.finished("i-1")
    net.rounds(3)
    assert {d.session.loads.total("i-1") for d in net.by_name.values()} == {59}


def test_only_the_strong_pass_reports_on_and_the_others_send_one_datagram_a_round() -> None:
    net = Net(60)
    net.rounds(4)
    for daemon in net.by_name.values():
        daemon.sent.clear()
    net.rounds(1)
    busy = {name for name, daemon in net.by_name.items() if len(daemon.sent) > 1}
    assert busy <= {"d-0", "d-1", "d-2", "d-3"}


def test_a_hub_that_fell_silent_is_replaced_by_the_second() -> None:
    net = Net(60)
    net.rounds(4)
    hub = net.by_name["d-59"].hubs.hub
    assert hub is not None
    net.down.add(hub.name)
    net.rounds(12)
    alive = [daemon for name, daemon in net.by_name.items() if name not in net.down]
    for daemon in alive:
        daemon.session.loads.started("i-1")
    net.rounds(5)
    assert {daemon.session.loads.total("i-1") for daemon in alive} == {59}
    second = net.by_name["d-59"].hubs.hub
    assert second is not None
    assert second.name != hub.name


def test_a_follower_that_stopped_reporting_is_sent_nothing() -> None:
    net = Net(60)
    net.rounds(4)
    hub = net.by_name["d-59"].hubs.hub
    assert hub is not None
    hubs = net.by_name[hub.name].hubs
    assert any(peer.name == "d-59" for peer in hubs.followers)
    net.down.add("d-59")
    net.rounds(1, FOLLOWED_S + SILENT_S)
    assert not any(peer.name == "d-59" for peer in hubs.followers)


def test_terms_reach_everyone_a_few_times_and_then_rest() -> None:
    net = Net(60)
    daemon = net.by_name["d-59"]
    net.rounds(2)
    daemon.reports._last_terms = {"s": 1}
    daemon.sent.clear()
    net.rounds(6)
    assert sum(isinstance(message, TermReport) for message in daemon.sent) == 3 * 59
