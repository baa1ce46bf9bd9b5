from __future__ import annotations

import pytest

from fuchsiawell.shards import LatencyFactors


def test_reports_of_many_daemons_average_out() -> None:
    paces = LatencyFactors()
    for _ in range(50):
        paces.take({7: 60})
        paces.take({7: 70})
    assert paces.slowness(7) == pytest.approx(0.65, abs=0.05)
    assert paces.slowness(8) == 1.0
