"""What a server says of a rest must be found in the logs and metrics of the daemon it told."""

from __future__ import annotations

from datetime import datetime, timedelta

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control.rest_tracker import RestTracker
from fuchsiawell.gateway.ports import ResponseMetadata

from builders import log_events, session


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
    assert until == observed.clock.now() + timedelta(seconds=3)
    assert 'fuchsiawell_rests_named_total{label="i-1"} 1' in observed.metrics.render({})


# Guards against log lines without bound while a server sheds every request.
def test_log_lines_of_rests_are_bounded() -> None:
    observed = session(ManualClock(1000.0))
    tracker = RestTracker(observed)
    for _ in range(5000):
        tracker.record_response("i-1", "i-1/1", shed(3.0))
    assert len(log_events(observed, "server rest")) <= 200
    assert observed.metrics.total("rests_named") == 5000


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
