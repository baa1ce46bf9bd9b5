from __future__ import annotations

import pytest

from fuchsiawell.shards import LatencyFactors


def test_reports_of_many_daemons_average_out() -> None:
    paces = LatencyFactors()
    for _ in range(50):
        paces.apply_report({7: 60})
        paces.apply_report({7: 70})
    assert paces.latency_factor(7) == pytest.approx(0.65, abs=0.05)
    assert paces.latency_factor(8) == 1.0
