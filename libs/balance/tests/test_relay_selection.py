"""Which daemon is asked to send requests to servers, and which are left alone for a while."""

from __future__ import annotations

from collections import Counter
from random import Random

from fuchsiawell.balance import RelayCandidate, RelaySelector


def selector(*candidates: RelayCandidate, zone: str = "a") -> RelaySelector:
    result = RelaySelector(zone, Random(1))
    result.set_candidates(candidates)
    return result


def equal(count: int, zone: str = "b") -> list[RelayCandidate]:
    return [RelayCandidate(f"d-{number}", zone, 1.0) for number in range(count)]


def test_no_daemon_is_selected_if_there_is_none_or_all_were_asked() -> None:
    assert selector().select((), 0.0) is None
    assert selector(*equal(2)).select({"d-0", "d-1"}, 0.0) is None


# Guards against an overload of few daemons by the requests of many that are cut off.
def test_requests_are_spread_by_capacity_and_own_zone_first() -> None:
    near, far = RelayCandidate("near", "a", 1.0), RelayCandidate("far", "b", 1.0)
    strong = RelayCandidate("strong", "b", 2.0)
    drawn = selector(near, far, strong)
    counts = Counter(drawn.select((), 0.0) for _ in range(6000))
    assert 0.45 < counts["near"] / 6000 < 0.55
    assert 0.28 < counts["strong"] / 6000 < 0.38
    assert 0.12 < counts["far"] / 6000 < 0.22


def test_unavailable_daemon_is_not_asked_until_its_time_has_passed() -> None:
    drawn = selector(*equal(2))
    drawn.record_unavailable("d-0", 10.0, avoid_s=2.0)
    assert {drawn.select((), 11.9) for _ in range(50)} == {"d-1"}
    drawn.record_unavailable("d-1", 11.0, avoid_s=2.0)
    assert {drawn.select((), 12.0) for _ in range(50)} == {"d-0"}


# Guards against RECOVER: the only daemon that reached servers had been restarted, and was not asked
# for 5 s although it served again.
def test_unavailable_daemon_is_asked_if_no_other_is_left() -> None:
    drawn = selector(*equal(2))
    drawn.record_unavailable("d-0", 10.0, avoid_s=5.0)
    drawn.record_unavailable("d-1", 10.2, avoid_s=5.0)
    assert drawn.select((), 10.2) is None
    assert drawn.select((), 10.3) == "d-0"
    assert drawn.select({"d-0"}, 10.3) is None
    assert {drawn.select((), 10.5) for _ in range(50)} == {"d-0", "d-1"}


# Guards against requests that ask one cut daemon after the other when most daemons are cut off.
def test_after_an_unavailable_daemon_one_that_served_lately_is_asked() -> None:
    drawn = selector(*equal(100))
    drawn.record_served("d-7", 1.0)
    assert {drawn.select({"d-0"}, 1.5) for _ in range(50)} == {"d-7"}
    assert len({drawn.select((), 1.5) for _ in range(50)}) > 10
    assert drawn.select({"d-0", "d-7"}, 1.5) not in ("d-0", "d-7")
    assert len({drawn.select({"d-0"}, 3.1) for _ in range(50)}) > 10


def test_daemon_that_served_is_asked_again_at_once() -> None:
    drawn = selector(*equal(1))
    drawn.record_unavailable("d-0", 0.0, avoid_s=5.0)
    drawn.record_served("d-0", 1.0)
    assert drawn.select((), 1.0) == "d-0"


def test_removed_daemons_are_forgotten() -> None:
    drawn = selector(*equal(3))
    drawn.record_served("d-2", 1.0)
    drawn.set_candidates(equal(2))
    assert {drawn.select((), 1.0) for _ in range(50)} == {"d-0", "d-1"}
    assert drawn.select({"d-0"}, 1.0) == "d-1"


# Guards against requests that wait at a daemon that stands still, and against none to ask where
# all are slow.
def test_silent_daemon_is_asked_only_if_no_other_is_left() -> None:
    drawn = selector(*equal(2))
    drawn.record_doubtful("d-0", 0.0, 0.5, avoid_s=2.0)
    assert {drawn.select((), 1.0) for _ in range(50)} == {"d-1"}
    assert drawn.select({"d-1"}, 1.0) == "d-0"
    drawn.record_served("d-0", 1.0)
    assert {drawn.select((), 1.0) for _ in range(50)} == {"d-0", "d-1"}


# Guards against relays that are left alone because some requests take long at a server.
def test_daemon_that_served_another_request_meanwhile_is_not_silent() -> None:
    drawn = selector(*equal(2))
    drawn.record_served("d-0", 0.4)
    drawn.record_doubtful("d-0", 0.0, 1.0, avoid_s=2.0)
    assert {drawn.select((), 1.0) for _ in range(50)} == {"d-0", "d-1"}
