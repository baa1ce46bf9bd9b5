"""Which responses and reports say that a server leaves, and what the other daemons are told."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest

from fuchsiawell.gateway.control.leaving_tracker import MAX_REMINDERS, LeavingTracker
from fuchsiawell.gateway.control.peer_messages import ServerLeavingReport
from fuchsiawell.gateway.control.peers import PeerMessenger
from fuchsiawell.gateway.ports import ResponseMetadata
from fuchsiawell.gateway.session.state import Peer, Session
from fuchsiawell.shards import Member, Owner, initial_map
from fuchsiawell.standins import MemoryDatagrams, VirtualClock, run_in_virtual_time

from builders import backend, log_events, session


class Receiver(asyncio.DatagramProtocol):
    """Counts the datagrams that a daemon gets."""

    count = 0

    def connection_made(self, transport: Any) -> None:
        """Do nothing: it sends nothing."""

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.count += 1


class Harness:
    """A daemon that knows server i-1, and two others, of which d-2 is the granter."""

    def __init__(self) -> None:
        clock: Any = VirtualClock()
        self.session: Session = session(clock)
        self.session.update_backend(backend("i-1"))
        self.peers = PeerMessenger(self.session)
        self.tracker = LeavingTracker(self.session, self.peers)
        datagrams = MemoryDatagrams(Random(1))
        datagrams.attach("d-1", self.peers)
        self.receivers = {name: Receiver() for name in ("d-2", "d-3")}
        for name, receiver in self.receivers.items():
            datagrams.attach(name, receiver)
            self.session.update_peer(Peer(name, "start-1", name, 0))
        self.session.granter = "d-2"

    @property
    def counts(self) -> tuple[int, int]:
        return self.receivers["d-2"].count, self.receivers["d-3"].count

    def own_keys(self) -> None:
        owner = Owner("i-1", 1, "127.0.0.1", 80)
        self.session.apply_shard_map(initial_map("s", "d-2", [Member(owner, 1.0)]), "test")


def response(server_id: str | None, misdirected: bool = False) -> ResponseMetadata:
    return ResponseMetadata("q1", False, misdirected, misdirected, server_id, leaving=True)


# Guards against a server that is taken for a leaving one because of what is now at its address.
@pytest.mark.parametrize(
    ("server_id", "misdirected", "draining"),
    [
        (None, False, True),
        ("i-1", False, True),
        ("i-1", True, True),
        ("i-2", False, False),
        ("i-2", True, False),
        (None, True, False),
    ],
)
def test_response_counts_if_it_comes_from_the_server_that_was_meant(
    server_id: str | None, misdirected: bool, draining: bool
) -> None:
    async def run() -> None:
        harness = Harness()
        harness.tracker.record_response("i-1", "i-1/1", response(server_id, misdirected))
        assert harness.session.directory.by_id["i-1"].draining is draining

    run_in_virtual_time(run())


# Guards against a response of an earlier incarnation that marks the one which is running.
def test_response_marks_the_incarnation_that_it_is_about() -> None:
    async def run() -> None:
        harness = Harness()
        harness.session.update_backend(backend("i-1", incarnation=2))
        harness.tracker.record_response("i-1", "i-1/1", response("i-1"))
        assert not harness.session.directory.by_id["i-1"].draining

    run_in_virtual_time(run())


# Guards against a log line and a datagram to all daemons for each response.
def test_daemons_are_told_once() -> None:
    async def run() -> None:
        harness = Harness()
        for _ in range(100):
            harness.tracker.record_response("i-1", "i-1/1", response("i-1"))
            await asyncio.sleep(0.01)
        assert harness.counts == (1, 1)
        assert len(log_events(harness.session, "server leaving")) == 1

    run_in_virtual_time(run())


# Guards against a report by each of the daemons that hear it at the same time.
def test_daemons_are_not_told_what_another_has_reported() -> None:
    async def run() -> None:
        harness = Harness()
        harness.tracker.record_response("i-1", "i-1/1", response("i-1"))
        harness.tracker.apply_report("d-3", ServerLeavingReport("i-1", "i-1/1"))
        await asyncio.sleep(1.0)
        assert harness.counts == (0, 0)

    run_in_virtual_time(run())


# Guards against reminders that go on for good, as nobody else can own the keys.
def test_granter_is_reminded_of_an_owner_for_a_limited_time() -> None:
    async def run() -> None:
        harness = Harness()
        harness.own_keys()
        harness.tracker.record_response("i-1", "i-1/1", response("i-1"))
        await asyncio.sleep(60.0)
        assert harness.counts == (MAX_REMINDERS + 1, 1)

    run_in_virtual_time(run())


# Guards against a report that comes before the entry of the server, and is forgotten.
def test_report_on_an_unknown_server_holds_for_its_entry() -> None:
    async def run() -> None:
        harness = Harness()
        harness.tracker.apply_report("d-3", ServerLeavingReport("i-7", "i-7/1"))
        harness.session.update_backend(backend("i-7"))
        assert harness.session.directory.by_id["i-7"].draining

    run_in_virtual_time(run())
