from __future__ import annotations

import pytest

from fuchsiawell.bench.capacity.slopes import fit, memory_bytes, report


def test_finds_the_line_and_its_worst_point() -> None:
    line = fit([(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)])
    assert (line.slope, line.intercept) == pytest.approx((2.0, 1.0))
    assert line.residual == pytest.approx(0.0)
    assert line.at(10.0) == pytest.approx(21.0)
    assert fit([(1.0, 1.0), (2.0, 4.0), (3.0, 3.0)]).residual == pytest.approx(2 / 3)


def test_two_sizes_make_no_slope() -> None:
    with pytest.raises(ValueError, match="three sizes"):
        fit([(1.0, 3.0), (2.0, 5.0)])


def test_counts_the_memory_that_is_kept() -> None:
    assert 1_000_000 <= memory_bytes(lambda: bytes(1_000_000)) < 1_010_000


def test_reports_points_and_line() -> None:
    found = list(report("x", "B", "key", [(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]))
    assert [m.measure for m in found] == [
        "capacity/x/1 key",
        "capacity/x/2 key",
        "capacity/x/4 key",
        "capacity/x/slope",
        "capacity/x/intercept",
        "capacity/x/residual",
    ]
