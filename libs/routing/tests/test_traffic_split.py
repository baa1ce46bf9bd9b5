from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

from fuchsiawell.routing import TrafficSplitter, WeightedService

from test_configuration import route

SPLIT = replace(
    route("r", "/"), traffic_split=(WeightedService("old", 90), WeightedService("new", 10))
)


def test_shares_hold_over_short_spans() -> None:
    dealer = TrafficSplitter(Random(1))
    for _ in range(20):
        dealt = Counter(dealer.next_service(SPLIT) for _ in range(20))
        assert 1 <= dealt["new"] <= 3


def test_many_daemons_with_few_requests_keep_the_shares_together() -> None:
    dealt = Counter(TrafficSplitter(Random(seed)).next_service(SPLIT) for seed in range(1000))
    assert 60 <= dealt["new"] <= 140


def test_new_weights_take_effect_at_once() -> None:
    dealer = TrafficSplitter(Random(1))
    dealer.next_service(SPLIT)
    turned = replace(SPLIT, traffic_split=(WeightedService("old", 0), WeightedService("new", 100)))
    assert {dealer.next_service(turned) for _ in range(10)} == {"new"}
