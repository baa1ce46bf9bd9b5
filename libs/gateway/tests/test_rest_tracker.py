"""What a server says of a rest must be found in the logs and metrics of the daemon it told."""

from __future__ import annotations

from datetime import datetime, timedelta

import pytest

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control.rest_tracker import RestTracker
from fuchsiawell.gateway.ports import ResponseMetadata

from builders import backend, log_events, session


def shed(
    seconds: float | None, invalid: str | None = None, server_id: str | None = None
) -> ResponseMetadata:
    rest = None if seconds is None else timedelta(seconds=seconds)
    return ResponseMetadata("q", False, True, False, server_id, rest=rest, invalid_rest=invalid)


# Guards against refusals whose cause, a server's rest, appears in no log line.
def test_named_rest_is_logged_and_counted() -> None:
    observed = session(ManualClock(1000.0))
    RestTracker(observed).record_response("i-1", "i-1/1", shed(3.0))
    [event] = log_events(observed, "server rest")
    assert (event["server"], event["incarnation"]) == ("i-1", "i-1/1")
    assert event["seconds"] == 3.0
    until = datetime.fromisoformat(event["until"])
    assert 3.0 <= (until - observed.clock.now()).total_seconds() <= 3.0 * 1.05
    assert 'fuchsiawell_rests_named_total{label="i-1"} 1' in observed.metrics.render({})


# Guards against log lines without bound while a server sheds every request.
def test_log_lines_of_rests_are_bounded() -> None:
    observed = session(ManualClock(1000.0))
    tracker = RestTracker(observed)
    for _ in range(5000):
        tracker.record_response("i-1", "i-1/1", shed(3.0))
    assert len(log_events(observed, "server rest")) <= 200
    assert observed.metrics.total("rests_named") == 5000


# Guards against a line for each of the responses that turn away what was under way together.
def test_responses_that_hardly_prolong_a_rest_are_not_logged() -> None:
    clock = ManualClock(1000.0)
    observed = session(clock)
    tracker = RestTracker(observed)
    for _ in range(5):
        tracker.record_response("i-1", "i-1/1", shed(0.5))
        clock.advance(0.01)
    assert len(log_events(observed, "server rest")) == 1
    clock.advance(0.4)
    tracker.record_response("i-1", "i-1/1", shed(0.5))
    assert len(log_events(observed, "server rest")) == 2


def test_server_rests_from_the_response_until_the_end_that_it_named() -> None:
    clock = ManualClock(1000.0)
    observed = session(clock)
    tracker = RestTracker(observed)
    tracker.record_response("i-1", "i-1/1", shed(3.0))
    assert not tracker.is_resting("i-1/2")
    clock.advance(2.99)
    assert tracker.is_resting("i-1/1")
    clock.advance(0.01 + 0.05 * 3.0)
    assert not tracker.is_resting("i-1/1")


# Guards against requests that stay in a queue for a server that has just asked for a rest.
async def test_queued_requests_are_woken_when_a_rest_begins() -> None:
    observed = session(ManualClock(1000.0))
    observed.update_backend(backend("i-1"))
    woken: list[str] = []
    observed.admission_queue("s", "i-1").enqueue(0, 1002.0, 1001.0, lambda: woken.append("q"))
    RestTracker(observed).record_response("i-1", "i-1/1", shed(3.0))
    assert woken == ["q"]


def test_unreadable_rest_is_logged() -> None:
    observed = session(ManualClock(1000.0))
    RestTracker(observed).record_response("i-1", "i-1/1", shed(None, "soon" * 100))
    [event] = log_events(observed, "server rest unreadable")
    assert event["value"] == ("soon" * 100)[:60]


# Guards against a rest that another server names, which got the address since.
def test_response_of_another_server_is_ignored() -> None:
    observed = session(ManualClock(1000.0))
    RestTracker(observed).record_response("i-1", "i-1/1", shed(3.0, server_id="i-2"))
    assert observed.metrics.total("rests_named") == 0


# Guards against soak seed 3 (BUDGET): a server restarted, named a rest and got requests in it once
# its new entry arrived, as the daemon kept the rest for the old incarnation.
@pytest.mark.parametrize("entry_removed", [False, True])
@pytest.mark.parametrize("unconfirmed_s", [0.0, 4.0])
def test_rest_named_before_the_entry_of_the_new_incarnation_arrives_holds(
    entry_removed: bool, unconfirmed_s: float
) -> None:
    clock = ManualClock(1000.0)
    observed = session(clock)
    observed.update_backend(backend("i-1"))
    tracker = RestTracker(observed)
    tracker.record_response("i-1", "i-1/1", shed(8.0))
    clock.advance(unconfirmed_s + 0.05)
    if entry_removed:
        observed.remove_backend("i-1")
    observed.update_backend(backend("i-1", incarnation=2), unconfirmed_s)
    assert tracker.is_resting("i-1/2")
    clock.advance(8.4)
    assert not tracker.is_resting("i-1/2")


def test_rest_named_long_before_a_restart_ends_with_it() -> None:
    clock = ManualClock(1000.0)
    observed = session(clock)
    observed.update_backend(backend("i-1"))
    tracker = RestTracker(observed)
    tracker.record_response("i-1", "i-1/1", shed(60.0))
    clock.advance(3.0)
    observed.update_backend(backend("i-1", incarnation=2), 0.5)
    assert not tracker.is_resting("i-1/2")


# Guards against a rest that ends because the entry of its server was missing for a moment.
def test_rest_holds_when_the_entry_of_the_same_incarnation_comes_back() -> None:
    clock = ManualClock(1000.0)
    observed = session(clock)
    observed.update_backend(backend("i-1"))
    tracker = RestTracker(observed)
    tracker.record_response("i-1", "i-1/1", shed(8.0))
    clock.advance(3.0)
    observed.remove_backend("i-1")
    observed.update_backend(backend("i-1"))
    assert tracker.is_resting("i-1/1")
