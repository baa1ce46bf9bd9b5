from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from fuchsiawell.routing import TrafficSplitter, WeightedService

from test_configuration import route

SPLIT = replace(
    route("r", "/"), traffic_split=(WeightedService("old", 90), WeightedService("new", 10))
)


def test_few_requests_have_the_configured_shares() -> None:
    splitter = TrafficSplitter(Random(1))
    for _ in range(20):
        count_by_service = Counter(splitter.next_service(SPLIT) for _ in range(20))
        assert 1 <= count_by_service["new"] <= 3


def test_first_requests_of_many_daemons_have_the_configured_shares() -> None:
    count_by_service = Counter(
        TrafficSplitter(Random(seed)).next_service(SPLIT) for seed in range(1000)
    )
    assert 60 <= count_by_service["new"] <= 140


def test_new_weights_take_effect_at_once() -> None:
    splitter = TrafficSplitter(Random(1))
    splitter.next_service(SPLIT)
    all_new = replace(SPLIT, traffic_split=(WeightedService("old", 0), WeightedService("new", 100)))
    assert {splitter.next_service(all_new) for _ in range(10)} == {"new"}


# Guards against requests without an answer: no service was found for them where the weights of a
# split add up to nothing (issue 26).
@pytest.mark.parametrize("weights", [(0, 0), (0,), (-1, -2), (-5, 0), ()])
def test_split_without_a_positive_weight_has_no_service(weights: tuple[int, ...]) -> None:
    split = tuple(WeightedService(f"s{number}", weight) for number, weight in enumerate(weights))
    splitter = TrafficSplitter(Random(1))
    for _ in range(100):
        assert splitter.next_service(replace(SPLIT, traffic_split=split)) is None


@pytest.mark.parametrize(
    ("weights", "shares"),
    [
        ((10, -10, 10), (0.5, 0.0, 0.5)),
        ((-100, 30, 10), (0.0, 0.75, 0.25)),
        ((0.5, 1.5), (0.25, 0.75)),
        ((10**40, 10**40), (0.5, 0.5)),
        ((1, 10**40), (0.0, 1.0)),
        ((1e308, 1e308), (0.5, 0.5)),
        ((5e-324, 5e-324), (0.5, 0.5)),
        ((5, 0), (1.0, 0.0)),
    ],
)
def test_unusual_weights_give_shares_in_proportion(
    weights: tuple[float, ...], shares: tuple[float, ...]
) -> None:
    split = tuple(WeightedService(f"s{number}", weight) for number, weight in enumerate(weights))
    splitter = TrafficSplitter(Random(1))
    counts = Counter(splitter.next_service(replace(SPLIT, traffic_split=split)) for _ in range(400))
    for part, share in zip(split, shares, strict=True):
        assert abs(counts[part.service] / 400 - share) <= 0.02
