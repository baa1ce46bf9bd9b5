from __future__ import annotations

import pytest

from fuchsiawell.shards import LatencyFactors


def test_reports_of_many_daemons_are_averaged() -> None:
    factors = LatencyFactors()
    for _ in range(50):
        factors.apply_report({7: 60})
        factors.apply_report({7: 70})
    assert factors.latency_factor(7) == pytest.approx(0.65, abs=0.05)
    assert factors.latency_factor(8) == 1.0
