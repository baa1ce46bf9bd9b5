from __future__ import annotations

import pytest

from fuchsiawell.bench.capacity.fleet import read_slopes
from fuchsiawell.bench.capacity.slopes import report
from fuchsiawell.bench.measurement import Measurement


def test_reads_back_the_lines_that_were_printed() -> None:
    points = [(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]
    printed = [m.to_json() for m in report("x", "B", "key", points)]
    printed.append(Measurement("capacity/admission-idle-cpu", 4.0, "us", None, 1).to_json())
    slopes = read_slopes(iter(printed))
    assert slopes.at("x", 10.0) == pytest.approx(21.0)
    assert slopes.per("x", 10.0) == pytest.approx(20.0)
    assert slopes.idle_admission_us == 4.0
