from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

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
