from __future__ import annotations

from dataclasses import replace

import pytest

from fuchsiawell.core import CellName, DaemonId, NotRunReason, ServerId, ServiceName, ShardId
from fuchsiawell.ownership import (
    DRAIN_S,
    RUN_S,
    Action,
    Assignment,
    Event,
    Fence,
    GrantInstalled,
    GrantLapsed,
    GrantRefused,
    GrantRenewed,
    HandedOver,
    InstallGrant,
    Leader,
    Membership,
    NoAnswer,
    ProbeAnswered,
    ProbeServer,
    Released,
    ReleaseShard,
    RenewGrant,
    ServerLost,
    ServerRecord,
    ServerReturned,
    ServerState,
    ShardRecord,
    ShardReleased,
    ShardState,
)

SERVICE = ServiceName("penwatch")
SELF = DaemonId("d1")
SERVER, OTHER = ServerId("s1"), ServerId("s2")
SHARD, SECOND = ShardId(SERVICE, 0), ShardId(SERVICE, 1)
DEADLINE_S = 5.0


class Bench:
    """One daemon, alone in its cell, with one server that answers at once unless frozen."""

    def __init__(self, checks_fence: bool = True) -> None:
        self.now_s = 50.0
        self.membership = Membership(SELF, "vuda", 1, self.now_s)
        self.membership.set_members((SELF,), 1, True, self.now_s)
        self.leader = Leader(self.membership, {SERVICE: DEADLINE_S})
        self.frozen = False
        self.refusing = False
        self.lapsed = False
        self.seen: list[Action] = []
        server = ServerRecord(
            SERVER, SERVICE, "127.0.0.1:1", "vuda", SELF, 3, ServerState.ACTIVE, checks_fence
        )
        self.record = Assignment(
            CellName("c"),
            SELF,
            1,
            (SELF,),
            {SERVICE: 2},
            {SERVER: server},
            {id: ShardRecord(SERVER, 1, ShardState.ASSIGNED) for id in (SHARD, SECOND)},
            incarnations_by_member={SELF: 1},
            revision=1,
        )
        self.leader.apply(self.record, self.now_s)

    def apply(self, **changes: object) -> None:
        changed = replace(self.record, **changes)  # type: ignore[arg-type]
        self.record = replace(changed, revision=self.record.revision + 1)
        self.leader.apply(self.record, self.now_s)

    def change_server(self, **changes: object) -> None:
        server = replace(self.record.servers_by_id[SERVER], **changes)  # type: ignore[arg-type]
        self.apply(servers_by_id={SERVER: server})

    def move(self, shard: ShardId) -> None:
        moving = replace(self.record.shards_by_id[shard], state=ShardState.MOVING, moving_to=OTHER)
        self.apply(shards_by_id={**self.record.shards_by_id, shard: moving})

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.now_s += 0.05
            for action in self.leader.tick(self.now_s):
                self.seen.append(action)
                if not self.frozen:
                    self.leader.on_event(self._answer(action), self.now_s)

    def may_send(self, shard: ShardId = SHARD) -> Fence | NotRunReason:
        return self.leader.may_send(shard, self.now_s)

    def _answer(self, action: Action) -> Event:
        clock_ms = int(self.now_s * 1000)
        match action:
            case ProbeServer(server, _, term, call, _):
                return ProbeAnswered(server, term, call, clock_ms)
            case InstallGrant(server, _, term, call) | RenewGrant(server, _, term, call):
                if self.refusing:
                    return GrantRefused(server, term, call)
                if self.lapsed and isinstance(action, RenewGrant):
                    return GrantLapsed(server, term, call, clock_ms)
                kind = GrantInstalled if isinstance(action, InstallGrant) else GrantRenewed
                return kind(server, term, call, clock_ms)
            case ReleaseShard(server, _, term, shard, epoch):
                return ShardReleased(server, term, shard, epoch)


def test_nothing_is_sent_before_the_grant_is_confirmed() -> None:
    bench = Bench()
    assert bench.may_send() is NotRunReason.NO_LEADER
    bench.run(0.2)
    assert bench.may_send() == Fence(SERVER, "127.0.0.1:1", 3, 1)
    assert bench.leader.may_send(ShardId(SERVICE, 9), bench.now_s) is NotRunReason.NO_OWNER


def test_the_grant_carries_the_servers_own_clock_and_a_call_number() -> None:
    bench = Bench()
    bench.run(1.0)
    grants = [a for a in bench.seen if isinstance(a, InstallGrant | RenewGrant)]
    assert isinstance(bench.seen[0], ProbeServer)
    assert all(grant.clock_ms is not None for grant in grants)
    calls = [grant.call for grant in grants]
    assert calls == sorted(set(calls))


def test_a_lapse_of_the_right_ends_sending_at_once_and_for_this_term() -> None:
    bench = Bench()
    bench.run(0.2)
    others = (SELF, DaemonId("d2"), DaemonId("d3"))
    bench.membership.set_members(others, 2, True, bench.now_s)  # no echo of these yet
    assert bench.may_send() is NotRunReason.NO_LEADER
    bench.membership.set_members((SELF,), 3, True, bench.now_s)
    assert bench.membership.has_right(bench.now_s)
    assert bench.may_send() is NotRunReason.NO_LEADER  # the record names an earlier incarnation
    bench.change_server(term=4)
    bench.apply(incarnations_by_member={SELF: bench.membership.incarnation})
    bench.run(0.2)
    assert isinstance(bench.may_send(), Fence)


def test_a_moved_shard_is_released_after_its_grant_is_gone_and_nothing_runs() -> None:
    bench = Bench()
    bench.run(0.2)
    fence = bench.may_send()
    assert isinstance(fence, Fence)
    ticket = bench.leader.enter(SHARD, fence, bench.now_s)
    bench.move(SHARD)
    assert bench.may_send() is NotRunReason.MOVING
    assert isinstance(bench.may_send(SECOND), Fence)
    bench.run(1.0)
    assert not any(isinstance(a, ReleaseShard) for a in bench.seen)
    bench.leader.leave(ticket)
    bench.run(0.2)
    assert Released(SHARD, 1) in bench.leader.facts()
    last_grant = [a for a in bench.seen if isinstance(a, InstallGrant)][-1]
    assert SHARD not in last_grant.epochs_by_shard


def test_a_release_is_stated_until_the_record_has_gone_on_whoever_leads() -> None:
    bench = Bench()
    bench.run(0.2)
    bench.move(SHARD)
    bench.run(0.3)
    bench.change_server(term=4, leader=DaemonId("d2"))
    assert Released(SHARD, 1) in bench.leader.facts()
    done = ShardRecord(OTHER, 2, ShardState.ASSIGNED)
    bench.apply(shards_by_id={**bench.record.shards_by_id, SHARD: done})
    assert Released(SHARD, 1) not in bench.leader.facts()


def test_a_silent_server_is_given_up_only_after_its_grants_have_lapsed() -> None:
    bench = Bench()
    bench.run(0.5)
    bench.frozen = True
    frozen_s = bench.now_s
    while ServerLost(SERVER, 3) not in bench.leader.facts():
        bench.run(0.05)
        assert bench.now_s - frozen_s < 2.5
    last_sent = [a for a in bench.seen if isinstance(a, InstallGrant | RenewGrant)][-1]
    assert last_sent.clock_ms is not None
    assert bench.now_s > last_sent.clock_ms / 1000 + RUN_S
    assert bench.may_send() is NotRunReason.NO_LEADER
    bench.frozen = False
    count = len(bench.seen)
    bench.run(3.0)
    assert not any(isinstance(a, InstallGrant | RenewGrant) for a in bench.seen[count:])
    bench.change_server(state=ServerState.LOST)
    assert bench.leader.facts() == {ServerReturned(SERVER, 3)}


def test_a_lapsed_grant_is_installed_again_before_work_goes_on() -> None:
    bench = Bench()
    bench.run(0.5)
    bench.lapsed = True
    bench.run(0.25)
    bench.lapsed = False
    bench.run(0.3)
    assert isinstance(bench.may_send(), Fence)


def test_a_server_that_knows_a_higher_term_gets_nothing_and_is_not_called_lost() -> None:
    bench = Bench()
    bench.refusing = True
    bench.run(4.0)
    assert bench.may_send() is NotRunReason.NO_LEADER
    assert not bench.leader.facts()


def test_a_successor_makes_the_leader_stop_and_say_so() -> None:
    bench = Bench()
    bench.run(0.2)
    bench.change_server(successor=DaemonId("d2"))
    assert bench.may_send() is NotRunReason.NO_LEADER
    assert bench.leader.facts() == {HandedOver(SERVER, 3)}


def test_a_leaving_server_gets_no_new_work_after_a_while() -> None:
    bench = Bench()
    bench.run(0.2)
    bench.change_server(state=ServerState.DRAINING)
    bench.run(DRAIN_S - 0.1)
    assert isinstance(bench.may_send(), Fence)
    bench.run(0.2)
    assert bench.may_send() is NotRunReason.NO_LEADER


@pytest.mark.parametrize("takes_over", [True, False])
def test_an_unchecked_server_waits_for_the_longest_deadline(takes_over: bool) -> None:
    bench = Bench(checks_fence=False)
    bench.run(0.2 if takes_over else DEADLINE_S + 1.0)
    fence = bench.may_send()
    assert isinstance(fence, Fence)
    sent_s = bench.now_s
    ticket = bench.leader.enter(SHARD, fence, sent_s)
    bench.leader.leave(ticket, may_run_until_s=sent_s + DEADLINE_S)
    bench.move(SHARD)
    bench.frozen = True
    while Released(SHARD, 1) not in bench.leader.facts():
        bench.run(0.05)
        if ServerLost(SERVER, 3) in bench.leader.facts():
            break
    assert bench.now_s >= sent_s + DEADLINE_S


def test_a_server_that_refuses_connections_is_not_called_without_pause() -> None:
    bench = Bench()
    bench.run(0.2)
    calls = 0
    for _ in range(100):
        for action in bench.leader.tick(bench.now_s):
            assert isinstance(action, ProbeServer | InstallGrant | RenewGrant)
            calls += 1
            failed = NoAnswer(action.server, action.term, action.call)
            bench.leader.on_event(failed, bench.now_s)
        bench.now_s += 0.005
    assert calls <= 7
