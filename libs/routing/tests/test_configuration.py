from __future__ import annotations

from datetime import timedelta

from fuchsiawell.routing import ClientLimits, Configuration, Idempotency, Route, WeightedService


def route(name: str, prefix: str, host: str = "a.example") -> Route:
    return Route(
        name,
        host,
        prefix,
        Idempotency.IDEMPOTENT,
        timedelta(seconds=1),
        timedelta(seconds=0.5),
        1,
        2,
        (WeightedService("s", 1),),
    )


def configuration(*routes: Route) -> Configuration:
    limits = ClientLimits(1000, 1000, timedelta(seconds=3), timedelta(seconds=15))
    return Configuration(1, routes, {}, limits)


def test_route_with_the_longest_prefix_is_found() -> None:
    config = configuration(route("short", "/a/"), route("long", "/a/b/"), route("all", "/"))
    assert config.find_route("a.example", "/a/b/c").name == "long"
    assert config.find_route("a.example", "/a/x").name == "short"
    assert config.find_route("a.example", "/z").name == "all"


def test_prefix_with_a_trailing_slash_matches_whole_segments_only() -> None:
    config = configuration(route("one", "/a/"))
    assert config.find_route("a.example", "/ab") is None
    assert config.find_route("a.example", "/a") is None


def test_no_route_for_another_host() -> None:
    assert configuration(route("one", "/")).find_route("b.example", "/") is None
