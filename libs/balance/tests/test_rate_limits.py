"""Limits of servers are taken from responses and reports that may overtake each other."""

from __future__ import annotations

from fuchsiawell.balance import RateLimit, RateLimits

LIFE, NEXT_LIFE = "i-1/1", "i-1/2"


def limits(rate_per_s: float = 2.0, named_s: float = 10.0) -> RateLimits:
    known = RateLimits()
    assert known.record_named("i-1", LIFE, rate_per_s, named_s - 0.1, named_s)
    return known


def test_limit_holds_for_its_incarnation_only() -> None:
    known = limits()
    assert known.rate_per_s("i-1", LIFE) == 2.0
    assert known.rate_per_s("i-1", NEXT_LIFE) is None
    assert known.rate_per_s("i-2", "i-2/1") is None


def test_response_that_was_overtaken_by_a_named_limit_does_not_end_it() -> None:
    known = limits()
    assert not known.record_ended("i-1", LIFE, sent_s=9.95, now_s=10.2)
    assert known.rate_per_s("i-1", LIFE) == 2.0
    assert known.record_ended("i-1", LIFE, sent_s=10.1, now_s=10.3)
    assert known.rate_per_s("i-1", LIFE) is None
    assert not known.record_ended("i-1", LIFE, sent_s=10.4, now_s=10.5)


def test_overtaken_response_lowers_a_limit_but_does_not_raise_it() -> None:
    known = limits()
    assert not known.record_named("i-1", LIFE, 3.0, sent_s=9.9, now_s=10.1)
    assert known.rate_per_s("i-1", LIFE) == 2.0
    assert known.record_named("i-1", LIFE, 1.0, sent_s=9.9, now_s=10.2)
    assert known.record_named("i-1", LIFE, 3.0, sent_s=10.3, now_s=10.4)
    assert known.rate_per_s("i-1", LIFE) == 3.0


def test_limit_that_is_named_again_after_its_end_holds_at_once() -> None:
    known = limits()
    known.record_ended("i-1", LIFE, sent_s=10.1, now_s=10.3)
    assert known.record_named("i-1", LIFE, 2.0, sent_s=10.2, now_s=10.4)
    assert known.rate_per_s("i-1", LIFE) == 2.0


def test_report_of_another_daemon_holds_unless_it_is_older() -> None:
    known = limits()
    assert not known.apply_report("i-1", RateLimit(LIFE, None, 9.0))
    assert known.apply_report("i-1", RateLimit(LIFE, None, 11.0))
    assert known.rate_per_s("i-1", LIFE) is None
    assert known.apply_report("i-1", RateLimit(NEXT_LIFE, 0.0, 12.0))
    assert known.rate_per_s("i-1", NEXT_LIFE) == 0.0


def test_forgotten_server_has_no_limit() -> None:
    known = limits()
    known.forget("i-1")
    assert known.rate_per_s("i-1", LIFE) is None


def test_limits_of_removed_incarnations_are_discarded() -> None:
    known = limits()
    known.retain({LIFE})
    assert known.limited_ids == {"i-1"}
    known.retain({NEXT_LIFE})
    assert known.limited_ids == set()


# Guards against an old limit that daemons tell each other until it seems newer than its end.
def test_limit_that_is_told_to_and_fro_does_not_become_newer() -> None:
    first, second = limits(), RateLimits()
    for exchange in range(100):
        told_s = 10.5 + 0.01 * exchange
        for source, target in ((first, second), (second, first)):
            known = source.latest("i-1")
            assert known is not None
            age_s = told_s - known.named_s
            target.apply_report("i-1", RateLimit(LIFE, 2.0, told_s + 0.003 - age_s))
    assert first.apply_report("i-1", RateLimit(LIFE, None, 10.1))
    assert second.apply_report("i-1", RateLimit(LIFE, None, 10.1))
