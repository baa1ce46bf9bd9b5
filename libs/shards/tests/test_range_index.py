from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiawell.shards.range_index import RangeSet, RateIndex

KEYS = st.integers(0, 40)
RANGES = st.tuples(KEYS, KEYS).map(lambda ends: (min(ends), max(ends)))


@given(st.dictionaries(KEYS, st.floats(0.0, 100.0)), RANGES)
def test_rates_of_a_range_are_those_of_its_keys(
    rates: dict[int, float], key_range: tuple[int, int]
) -> None:
    index = RateIndex(rates)
    first, last = key_range
    inside = sorted((key, rate) for key, rate in rates.items() if first <= key <= last)
    assert index.items_in(first, last) == inside
    assert index.rate_in(first, last) == pytest.approx(sum(rate for _, rate in inside))


@given(st.lists(RANGES), RANGES)
def test_a_range_overlaps_a_set_if_it_overlaps_one_of_its_ranges(
    ranges: list[tuple[int, int]], key_range: tuple[int, int]
) -> None:
    first, last = key_range
    expected = any(start <= last and first <= end for start, end in ranges)
    assert RangeSet(ranges).overlaps(first, last) == expected
