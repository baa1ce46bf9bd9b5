"""What the log and the metrics tell of requests that the daemon refuses as wrong.

Guards against refusals whose cause cannot be found: a route may be missing because the request is
wrong, or because the daemon goes by an older configuration than others.
"""

from __future__ import annotations

import pytest

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.execute.refusal import Refusal, not_executed, unknown_route
from fuchsiawell.gateway.execute.request_records import RequestRecords

from builders import configuration, log_events, session

VERSION = 7


@pytest.mark.parametrize(
    ("refusal", "known"),
    [
        (unknown_route("no route", "r-1"), True),
        (Refusal(413, "body too large"), True),
        (not_executed("no free slot", 0.5), False),
    ],
)
def test_refusal_of_a_wrong_request_tells_configuration_and_its_age(
    refusal: Refusal, known: bool
) -> None:
    clock = ManualClock(1000.0)
    observed = session(clock)
    observed.configuration = configuration(version=VERSION)
    clock.advance(1.5)
    RequestRecords(observed).result(refusal, refusal, 0.01)
    (line,) = log_events(observed, "request refused")
    assert line["request"] == refusal.request_id
    assert line.get("configuration") == (VERSION if known else None)
    assert line.get("store_age_ms") == (1500 if known else None)
    counted = f'wrong_requests_total{{label="{refusal.status} by version {VERSION}"}} 1'
    assert (counted in observed.metrics.render({})) == known


def test_malformed_head_is_counted_with_the_configuration_in_force() -> None:
    observed = session()
    RequestRecords(observed).malformed(431, "head too large")
    (line,) = log_events(observed, "request refused")
    assert (line["status"], line["configuration"]) == (431, 0)
    assert observed.metrics.total("wrong_requests") == 1
