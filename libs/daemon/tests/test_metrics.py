from __future__ import annotations

import pytest

from fuchsiawell.core import Answered, NotRun, NotRunReason, Step, Unknown
from fuchsiawell.daemon.metrics import MAX_NAMES, Metrics


def test_outcomes_are_counted_and_waits_are_told() -> None:
    metrics = Metrics()
    for waited_ms in range(1, 101):
        metrics.record("penwatch", "status", Answered(200), waited_ms / 1000)
    metrics.record("penwatch", "feed", NotRun(NotRunReason.SHED, Step.ADMIT, "s1"), 0.1)
    metrics.record("penwatch", "feed", Unknown(Step.RUN, "s1", "cut"), 0.1)
    told = metrics.to_json()
    assert told["outcomes"] == {"answered": 100, "not-run/shed": 1, "unknown": 1}
    assert told["latency_ms"]["penwatch/status"]["p50"] == pytest.approx(50, rel=0.02)
    assert told["latency_ms"]["penwatch/status"]["p99"] == pytest.approx(99, rel=0.02)


def test_many_names_share_one_histogram() -> None:
    metrics = Metrics()
    for number in range(MAX_NAMES * 2):
        metrics.record("s", str(number), Answered(200), 0.001)
    assert len(metrics.to_json()["latency_ms"]) == MAX_NAMES + 1
