from __future__ import annotations

from dataclasses import replace

import pytest

from fuchsiawell.core import ManualClock, NotRunReason, ServiceName, ShardId
from fuchsiawell.once.ledger import Ledger, LedgerError, LedgerLimits
from fuchsiawell.once.minted import Mint
from fuchsiawell.once.records import (
    Conflict,
    FoundIntent,
    InProgress,
    JournalsRead,
    KeptAnswer,
    NotOpen,
    Record,
    Refuse,
    Replay,
    Run,
    Scope,
    Stopped,
    StoppedBy,
    UnknownBefore,
)
from fuchsiawell.once.requests import OnceRequest, OutagePolicy
from fuchsiawell.once.rules import Attempt

DROPS = ServiceName("dropline")
SHARD = ShardId(DROPS, 3)
PIN = ShardId(DROPS, 1_000_000)
NEVER_LED = Stopped(StoppedBy.NEVER_LED, 0.0)
ANSWER = KeptAnswer(200, ((b"a", b"b"),), b"dropped")


def request(id: str = "r1", key: str = "pen-4", shard: ShardId = SHARD) -> OnceRequest:
    return OnceRequest(DROPS, key, shard, id, b"content1", 600.0)


class Host:
    """One leader's ledger and clock."""

    def __init__(self, name: bytes, limits: LedgerLimits | None = None, start_s: float = 0) -> None:
        self.clock = ManualClock(start_s)
        self.ledger = Ledger(self.clock, Mint(name.ljust(8, b"-"), b"s" * 16 + name), limits)

    def led(self) -> Host:
        self.ledger.take_over([Scope(SHARD)], NEVER_LED)
        return self

    def after_loss(self, *intents: FoundIntent, wait_s: float = 0.0) -> Host:
        stopped = Stopped(StoppedBy.FENCED, self.clock.monotonic())
        read = JournalsRead(self.clock.monotonic(), intents, {SHARD: wait_s})
        self.ledger.take_over([Scope(SHARD)], stopped, read)
        return self

    def run(self, asked: OnceRequest) -> Record:
        decision = self.ledger.begin(asked)
        assert isinstance(decision, Run)
        return decision.ticket

    def sent(self, asked: OnceRequest) -> Record:
        ticket = self.run(asked)
        if not asked.id.startswith("fw1."):
            self.ledger.intent_recorded(ticket)
        assert self.ledger.send(ticket)
        return ticket

    def answered(self, asked: OnceRequest) -> Record:
        ticket = self.sent(asked)
        self.ledger.answered(ticket, ANSWER)
        return ticket

    def issue(self, key: str = "pen-4") -> str:
        id = self.ledger.issue(SHARD, key)
        assert id is not None
        return id


def test_a_resend_gets_what_is_known() -> None:
    host = Host(b"a").led()
    ticket = host.sent(request())
    assert host.ledger.begin(request()) == InProgress(ticket)
    host.ledger.answered(ticket, ANSWER)
    assert host.ledger.begin(request()) == Replay(ANSWER)
    host.ledger.unknown(host.sent(request("r2")))
    assert isinstance(host.ledger.begin(request("r2")), UnknownBefore)
    host.ledger.not_run(host.sent(request("r3")), NotRunReason.SHED)
    assert isinstance(host.ledger.begin(request("r3")), Run)


def test_bytes_leave_only_after_the_intent() -> None:
    host = Host(b"a").led()
    ticket = host.run(request())
    with pytest.raises(LedgerError):
        host.ledger.send(ticket)


def test_an_id_with_other_content_shows_no_answer() -> None:
    host = Host(b"a").led()
    host.answered(request())
    assert host.ledger.begin(replace(request(), content=b"content2")) == Conflict()
    assert isinstance(host.ledger.begin(replace(request(), caller=b"other")), UnknownBefore)
    assert isinstance(host.ledger.begin(request(key="pen-5")), Run)


def test_nothing_is_taken_before_the_evidence() -> None:
    host = Host(b"a", start_s=50)
    assert host.ledger.begin(request()) == NotOpen()
    stopped = Stopped(StoppedBy.LAPSED, 50.0)
    for read in (None, JournalsRead(49.0)):
        with pytest.raises(LedgerError):
            host.ledger.take_over([Scope(SHARD)], stopped, read)
    assert host.ledger.begin(request()) == NotOpen()


def test_found_intents_never_run_until_their_window_ended() -> None:
    found = FoundIntent(request().identity, b"content1", request().place, 600.0)
    host = Host(b"b").after_loss(found)
    assert isinstance(host.ledger.begin(request()), UnknownBefore)
    assert host.ledger.begin(replace(request(), content=b"content2")) == Conflict()
    assert isinstance(host.ledger.begin(request("r2")), Run)
    host.clock.advance(599)
    assert isinstance(host.ledger.begin(request()), UnknownBefore)
    host.clock.advance(2)
    assert isinstance(host.ledger.begin(request()), Run)


def test_unjournaled_term_makes_free_form_ids_unknown_for_a_window() -> None:
    host = Host(b"b").after_loss(wait_s=600.0)
    asked = replace(request(), on_outage=OutagePolicy.GO_ON)
    assert isinstance(host.ledger.begin(asked), UnknownBefore)
    assert isinstance(host.ledger.begin(request(host.issue())), Run)
    host.clock.advance(601)
    assert isinstance(host.ledger.begin(asked), Run)


def test_issued_ids_run_once_and_only_under_their_own_term() -> None:
    first, second = Host(b"a").led(), Host(b"b").after_loss()
    id = first.issue()
    ticket = first.sent(request(id))
    first.ledger.unknown(ticket)
    assert isinstance(first.ledger.begin(request(id)), UnknownBefore)
    assert isinstance(second.ledger.begin(request(id)), UnknownBefore)
    assert isinstance(second.ledger.begin(request(first.issue())), UnknownBefore)


def test_forged_ids_and_ids_of_another_key_are_not_run() -> None:
    host = Host(b"a").led()
    id = host.issue()
    tail = "A" if id[-1] != "A" else "B"
    for forged in (id[:-1] + tail, "fw1.", "fw1.%%", id + "AAAA"):
        assert host.ledger.begin(request(forged)) == Refuse(NotRunReason.MALFORMED)
    assert host.ledger.begin(request(id, key="pen-5")) == Refuse(NotRunReason.MALFORMED)


def test_an_issued_id_expires_truthfully() -> None:
    limits = LedgerLimits(issued_use_s=10.0, issued_resend_s=20.0)
    host = Host(b"a", limits).led()
    used, unused = host.issue(), host.issue()
    host.answered(request(used))
    host.clock.advance(15)
    assert host.ledger.begin(request(used)) == Replay(ANSWER)
    assert host.ledger.begin(request(unused)) == Refuse(NotRunReason.ID_EXPIRED)
    host.clock.advance(20)
    assert isinstance(host.ledger.begin(request(used)), UnknownBefore)
    assert isinstance(host.ledger.begin(request(unused)), UnknownBefore)


def test_records_end_with_the_window_and_running_ones_do_not() -> None:
    host = Host(b"a").led()
    host.answered(request())
    running = host.sent(request("r2"))
    host.clock.advance(601)
    assert isinstance(host.ledger.begin(request()), Run)
    assert host.ledger.begin(request("r2")) == InProgress(running)


def test_full_ledger_refuses_new_work_and_forgets_nothing() -> None:
    host = Host(b"a", LedgerLimits(max_records=2)).led()
    host.answered(request())
    host.answered(request("r2"))
    full = host.ledger.begin(request("r3"))
    assert isinstance(full, Refuse) and full.reason is NotRunReason.LEDGER_FULL
    assert host.ledger.begin(request()) == Replay(ANSWER)


def test_a_refusal_told_holds_for_late_copies() -> None:
    host = Host(b"a", LedgerLimits(max_records=1, max_refused=1)).led()
    host.ledger.not_run(host.sent(request()), NotRunReason.SHED, 15.0)
    host.clock.advance(14)
    # Told again: a copy that was sent since the first refusal must find it in force too.
    assert host.ledger.begin(request()) == Refuse(NotRunReason.SHED, 15.0)
    host.clock.advance(14)
    late = replace(request(), attempt=Attempt.FIRST)
    assert host.ledger.begin(late) == Refuse(NotRunReason.SHED, 1.0)
    host.clock.advance(1)
    host.answered(request())
    assert host.ledger.begin(request("r2")) == Refuse(NotRunReason.LEDGER_FULL, 15.0)
    host.clock.advance(10)
    assert host.ledger.begin(request("r2")) == Refuse(NotRunReason.LEDGER_FULL, 15.0)
    assert isinstance(host.ledger.begin(request("r3")), UnknownBefore)
    first = host.ledger.begin(replace(request("r3"), attempt=Attempt.FIRST))
    assert isinstance(first, Refuse)


def test_bodies_go_before_facts() -> None:
    host = Host(b"a", LedgerLimits(max_answer_bytes=ANSWER.size + 1)).led()
    host.answered(request())
    host.answered(request("r2"))
    assert isinstance(host.ledger.begin(request()), UnknownBefore)
    assert host.ledger.begin(request("r2")) == Replay(ANSWER)


def test_clean_hand_over_leaves_nothing_unknown() -> None:
    first, second = Host(b"a").led(), Host(b"b", start_s=900)
    used, unused = first.issue(), first.issue()
    first.answered(request(used))
    first.answered(request())
    second.ledger.accept(first.ledger.hand_over([Scope(SHARD)]))
    assert second.ledger.begin(request()) == Replay(ANSWER)
    assert second.ledger.begin(request(used)) == Replay(ANSWER)
    assert isinstance(second.ledger.begin(request(unused)), Run)
    assert first.ledger.begin(request(unused)) == NotOpen()


def test_hand_over_stops_what_was_received_and_hands_on_what_was_sent() -> None:
    first, second = Host(b"a").led(), Host(b"b")
    received, sent = first.run(request()), first.sent(request("r2"))
    first.ledger.intent_recorded(received)
    second.ledger.accept(first.ledger.hand_over([Scope(SHARD)]))
    assert not first.ledger.send(received)
    assert isinstance(second.ledger.begin(request()), Run)
    assert isinstance(second.ledger.begin(request("r2")), UnknownBefore)
    first.ledger.answered(sent, ANSWER)


def test_a_shard_that_came_back_after_a_loss_does_not_run_old_issued_ids() -> None:
    first, second = Host(b"a").led(), Host(b"b")
    id = first.issue()
    second.ledger.accept(first.ledger.hand_over([Scope(SHARD)]))
    second.answered(request(id))
    assert isinstance(first.after_loss().ledger.begin(request(id)), UnknownBefore)


def test_a_pinned_key_takes_its_records_and_ids_along() -> None:
    first, second = Host(b"a").led(), Host(b"b")
    id, other = first.issue(), first.issue("pen-5")
    first.answered(request())
    waiting = first.run(request(first.issue()))
    key = Scope(SHARD, "pen-4")
    second.ledger.accept(first.ledger.hand_over([key]), {key: Scope(PIN)})
    assert not first.ledger.send(waiting)
    assert first.ledger.begin(request(id)) == NotOpen()
    assert isinstance(first.ledger.begin(request(other, key="pen-5")), Run)
    assert second.ledger.begin(request(shard=PIN)) == Replay(ANSWER)
    assert isinstance(second.ledger.begin(request(id, shard=PIN)), Run)
    back = second.ledger.hand_over([Scope(PIN)])
    first.ledger.accept(back, {Scope(PIN): key})
    assert first.ledger.begin(request()) == Replay(ANSWER)


def test_an_unpinned_key_lost_elsewhere_does_not_run_old_issued_ids() -> None:
    first, second = Host(b"a").led(), Host(b"b")
    id = first.issue()
    key = Scope(SHARD, "pen-4")
    second.ledger.accept(first.ledger.hand_over([key]), {key: Scope(PIN)})
    second.answered(request(id, shard=PIN))
    first.ledger.take_over([key], Stopped(StoppedBy.FENCED, 0.0), JournalsRead(0.0))
    assert isinstance(first.ledger.begin(request(id)), UnknownBefore)


def test_a_lapsed_right_stops_what_was_not_sent() -> None:
    host = Host(b"a").led()
    ticket = host.run(request())
    host.ledger.intent_recorded(ticket)
    host.ledger.close_all()
    assert not host.ledger.send(ticket)
    assert host.ledger.begin(request("r2")) == NotOpen()
