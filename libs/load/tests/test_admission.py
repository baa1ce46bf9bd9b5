from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiawell.core import RequestId
from fuchsiawell.load import (
    Admission,
    Admit,
    Entry,
    Queued,
    QueueSettings,
    Shed,
    ShedCause,
)

SETTINGS = QueueSettings(slots=2, max_queued=64, initial_service_s=0.1)


def entry(deadline_s: float, caller: str = "a", kind: str = "status", name: str = "r") -> Entry:
    return Entry(RequestId(name), kind, caller, deadline_s)


def admission(settings: QueueSettings = SETTINGS) -> Admission:
    return Admission(settings)


def test_fills_the_slots_then_queues_in_deadline_order() -> None:
    queue = admission()
    first, second = entry(9.0), entry(9.0)
    assert queue.offer(first, 0.0) == Admit()
    assert queue.offer(second, 0.0) == Admit()
    late, soon = entry(8.0), entry(5.0)
    assert queue.offer(late, 0.0) == Queued()
    assert queue.offer(soon, 0.0) == Queued()
    assert queue.finish(first, 0.1).start == (soon,)
    assert queue.finish(second, 0.1).start == (late,)


def test_sheds_at_once_what_cannot_finish_and_says_when_to_return() -> None:
    queue = admission()
    for _ in range(12):
        queue.offer(entry(60.0), 0.0)
    decision = queue.offer(entry(60.3), 0.0)
    assert isinstance(decision, Queued)
    hopeless = queue.offer(entry(0.2, caller="b"), 0.0)
    assert isinstance(hopeless, Shed)
    assert hopeless.cause is ShedCause.DEADLINE
    assert 0 < hopeless.retry_after_s <= SETTINGS.max_retry_after_s


def test_refused_callers_return_one_after_the_other() -> None:
    queue = admission()
    while not isinstance(queue.offer(entry(1.0), 0.0), Shed):
        pass
    sheds = [queue.offer(entry(1.0), 0.0) for _ in range(10)]
    times = [shed.retry_after_s for shed in sheds if isinstance(shed, Shed)]
    assert len(set(times)) == 10
    assert times == sorted(times)


def test_the_queue_is_bounded_whatever_the_deadline() -> None:
    queue = admission()
    decisions = [queue.offer(entry(1e6), 0.0) for _ in range(200)]
    assert queue.queued == SETTINGS.max_queued
    assert isinstance(decisions[-1], Shed)
    assert decisions[-1].cause is ShedCause.FULL


def test_a_waiting_request_that_became_hopeless_is_refused_before_its_deadline() -> None:
    queue = admission()
    running = [entry(9.0), entry(9.0)]
    for each in running:
        queue.offer(each, 0.0)
    waiting = entry(0.4)
    assert queue.offer(waiting, 0.0) == Queued()
    assert queue.expire(0.2).shed == ()
    progress = queue.expire(0.35)
    assert [shed.entry for shed in progress.shed] == [waiting]
    assert queue.queued == 0


def test_a_light_caller_displaces_a_heavy_one() -> None:
    queue = admission()
    heavy: list[Entry] = []
    while True:
        heavy.append(entry(2.0, caller="heavy"))
        if isinstance(queue.offer(heavy[-1], 0.0), Shed):
            break
    decision = queue.offer(entry(2.0, caller="light"), 0.0)
    assert isinstance(decision, Queued)
    assert [shed.entry.caller for shed in decision.displaced] == ["heavy"]
    assert decision.displaced[0].shed.cause is ShedCause.SHARE
    assert isinstance(queue.offer(entry(2.0, caller="heavy"), 0.0), Shed)


def test_a_kind_of_long_requests_is_not_starved_by_short_ones() -> None:
    queue = admission(QueueSettings(slots=2, initial_service_s=0.01))
    now_s = 0.0
    for _ in range(64):  # teaches the queue how long each kind takes
        for kind, service_s in (("long", 0.2), ("short", 0.01)):
            taught = entry(now_s + 9.0, kind=kind)
            queue.offer(taught, now_s)
            now_s += service_s
            queue.finish(taught, now_s)
    while isinstance(queue.offer(entry(now_s + 1.0, kind="short"), now_s), Admit | Queued):
        pass
    decision = queue.offer(entry(now_s + 1.0, kind="long"), now_s)
    assert isinstance(decision, Queued)
    assert {shed.entry.kind for shed in decision.displaced} == {"short"}


def test_nothing_is_displaced_for_a_request_that_is_refused_anyway() -> None:
    queue = admission()
    while not isinstance(queue.offer(entry(2.0, caller="heavy"), 0.0), Shed):
        pass
    before = queue.queued
    assert isinstance(queue.offer(entry(0.05, caller="light"), 0.0), Shed)
    assert queue.queued == before


def test_cancel_takes_a_waiting_request_out_and_leaves_a_running_one() -> None:
    queue = admission(QueueSettings(slots=1))
    running, waiting = entry(9.0), entry(9.0)
    queue.offer(running, 0.0)
    queue.offer(waiting, 0.0)
    assert queue.cancel(waiting)
    assert not queue.cancel(waiting)
    assert not queue.cancel(running)
    assert queue.finish(running, 0.1).start == ()


def test_drain_and_suspension_hand_over_what_waits_and_refuse_the_rest() -> None:
    queue = admission(QueueSettings(slots=1))
    running, waiting = entry(9.0), entry(9.0)
    queue.offer(running, 0.0)
    queue.offer(waiting, 0.0)
    assert queue.drain() == (waiting,)
    refused = queue.offer(entry(9.0), 0.0)
    assert isinstance(refused, Shed)
    assert refused.cause is ShedCause.DRAINING
    assert queue.finish(running, 0.1).start == ()
    queue.resume(0.2, cold=False)
    assert queue.suspend() == ()
    refused = queue.offer(entry(9.0), 0.2)
    assert isinstance(refused, Shed)
    assert refused.cause is ShedCause.SUSPENDED
    queue.resume(0.3, cold=False)
    assert queue.offer(entry(9.0), 0.3) == Admit()


def test_a_cold_server_gets_its_slots_gradually() -> None:
    queue = admission(QueueSettings(slots=4, cold_start_s=9.0))
    queue.resume(0.0)
    entries = [entry(99.0) for _ in range(8)]
    assert [type(queue.offer(each, 0.0)) for each in entries] == [Admit] + [Queued] * 7
    assert len(queue.expire(3.1).start) == 1
    assert len(queue.expire(9.1).start) == 2


def test_the_servers_own_shedding_takes_a_slot_away_for_a_while() -> None:
    queue = admission()
    entries = [entry(99.0) for _ in range(6)]
    for each in entries:
        queue.offer(each, 0.0)
    assert queue.refused(entries[0], 0.0, pause_s=0.5).start == ()
    assert queue.next_check_s(0.4) == 0.5
    assert queue.expire(0.4).start == ()
    queue.finish(entries[1], 0.5)
    assert queue.running == 1
    queue.expire(2.0)
    assert queue.running == 2


def test_an_idle_server_is_tried_whatever_the_estimate_says() -> None:
    queue = admission()
    slow = entry(99.0)
    queue.offer(slow, 0.0)
    queue.finish(slow, 50.0)
    assert queue.offer(entry(51.0), 50.0) == Admit()


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["offer", "finish", "refuse", "cancel", "expire"]),
            st.integers(0, 5),
            st.floats(0.0, 0.2),
        ),
        max_size=120,
    )
)
def test_every_request_ends_exactly_once(steps: list[tuple[str, int, float]]) -> None:
    queue = admission(QueueSettings(slots=2, max_queued=8, initial_service_s=0.05))
    now_s, waiting, running, ended = 0.0, set(), [], set()

    def shed(entries: list[Entry]) -> None:
        for each in entries:
            waiting.remove(each)
            assert each not in ended
            ended.add(each)

    def advance(progress) -> None:
        shed([one.entry for one in progress.shed])
        for each in progress.start:
            waiting.remove(each)
            running.append(each)

    for action, number, step_s in steps:
        now_s += step_s
        if action == "offer":
            new = entry(now_s + 0.1 * number, caller=str(number), kind=str(number % 2))
            match queue.offer(new, now_s):
                case Admit():
                    running.append(new)
                case Queued(displaced):
                    waiting.add(new)
                    shed([one.entry for one in displaced])
                case Shed():
                    ended.add(new)
        elif action == "finish" and running:
            advance(queue.finish(running.pop(0), now_s))
        elif action == "refuse" and running:
            advance(queue.refused(running.pop(0), now_s, 0.1))
        elif action == "cancel" and waiting:
            gone = next(iter(sorted(waiting, key=lambda e: e.deadline_s)))
            assert queue.cancel(gone)
            waiting.remove(gone)
        elif action == "expire":
            advance(queue.expire(now_s))
        assert queue.queued == len(waiting) <= 8
        assert queue.running == len(running) <= 2


def test_finishing_what_never_started_is_an_error() -> None:
    with pytest.raises(KeyError):
        admission().finish(entry(1.0), 0.0)
