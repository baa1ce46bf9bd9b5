from __future__ import annotations

from dataclasses import replace

from fuchsiawell.core import CellName, ServiceName, ShardId
from fuchsiawell.ownership import FIRST_PIN_INDEX, Assignment, InFlight

SERVICE = ServiceName("penwatch")
HOME = ShardId(SERVICE, 0)
PINNED = ShardId(SERVICE, FIRST_PIN_INDEX)
PLAIN = Assignment(CellName("c"), None, 1, (), {SERVICE: 1}, revision=5)
WITH_PIN = replace(PLAIN, pins_by_key={(SERVICE, "pen-7"): PINNED}, revision=6)


def test_a_shard_is_drained_once_its_requests_ended() -> None:
    inflight = InFlight()
    ticket = inflight.enter(HOME, 5)
    assert not inflight.is_drained(HOME, 0.0)
    inflight.leave(ticket)
    assert inflight.is_drained(HOME, 0.0)


def test_a_request_without_answer_counts_until_it_cannot_run_any_more() -> None:
    inflight = InFlight()
    inflight.leave(inflight.enter(HOME, 5), may_run_until_s=3.0)
    assert not inflight.is_drained(HOME, 2.9)
    assert inflight.is_drained(HOME, 3.0)


def test_a_pinned_key_drains_what_was_admitted_under_its_old_shard() -> None:
    inflight = InFlight()
    inflight.apply(PLAIN)
    before = inflight.enter(HOME, 5)
    inflight.apply(WITH_PIN)
    after = inflight.enter(HOME, 6)
    assert not inflight.is_drained(PINNED, 0.0)
    inflight.leave(before)
    assert inflight.is_drained(PINNED, 0.0)  # requests admitted later are for other keys
    inflight.leave(after)


def test_a_key_that_is_pinned_no_longer_drains_what_was_admitted_under_its_pin() -> None:
    inflight = InFlight()
    inflight.apply(WITH_PIN)
    ticket = inflight.enter(PINNED, 6)
    inflight.apply(replace(PLAIN, revision=7))
    assert not inflight.is_drained(HOME, 0.0)
    inflight.leave(ticket)
    assert inflight.is_drained(HOME, 0.0)
