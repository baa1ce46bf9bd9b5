from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from fuchsiawell.load.sketch import HeavyHitters

FOREVER_S = 1e9


def test_a_heavy_key_is_held_within_the_stated_error() -> None:
    random, capacity = Random(1), 16
    sketch: HeavyHitters[int] = HeavyHitters(capacity, FOREVER_S, 0.0)
    true: Counter[int] = Counter()
    for _ in range(20_000):
        key = int(random.paretovariate(0.8))
        true[key] += 1
        sketch.add(key, 1.0, 0.0)
    unit = sketch.total_rate(0.0) / true.total()
    held = {hitter.key: hitter for hitter in sketch.top(capacity, 0.0)}
    for key, total in true.items():
        if total > true.total() / capacity:
            assert key in held
    for key, hitter in held.items():
        assert hitter.error <= sketch.total_rate(0.0) / capacity * 1.000001
        assert hitter.rate - hitter.error <= true[key] * unit * 1.000001
        assert true[key] * unit <= hitter.rate * 1.000001


def test_old_weight_halves_and_survives_rescaling() -> None:
    sketch: HeavyHitters[str] = HeavyHitters(4, 10.0, 0.0)
    sketch.add("a", 8.0, 1_000.0)
    start = sketch.rate("a", 1_000.0)
    assert sketch.rate("a", 1_020.0) == pytest.approx(start / 4)
    sketch.add("b", 1.0, 5_000.0)
    assert sketch.top(1, 5_000.0)[0].key == "b"
    assert sketch.rate("a", 5_000.0) < 1e-12


def test_a_steady_stream_settles_at_its_rate() -> None:
    sketch: HeavyHitters[str] = HeavyHitters(4, 5.0, 0.0)
    for tick in range(10_000):
        sketch.add("a", 0.03, tick / 100)
    assert sketch.rate("a", 100.0) == pytest.approx(3.0, rel=0.01)


def test_a_young_sketch_tells_the_rate_so_far() -> None:
    sketch: HeavyHitters[str] = HeavyHitters(4, 60.0, 0.0)
    for tick in range(300):
        sketch.add("a", 0.03, tick / 100)
    assert sketch.rate("a", 3.0) == pytest.approx(3.0, rel=0.02)
    assert sketch.rate("a", 63.0) == pytest.approx(0.0985, rel=0.1)


def test_refuses_a_sketch_of_nothing() -> None:
    with pytest.raises(ValueError, match="room"):
        HeavyHitters(0, 1.0, 0.0)
