from __future__ import annotations

from fuchsiawell.core import ManualClock
from fuchsiawell.standins.backend.grants import Accepted, Fence, GrantLapsed, Grants, HigherTerm


def test_work_needs_the_term_and_the_epoch_of_the_grant() -> None:
    grants = Grants(ManualClock())
    assert not grants.allows(Fence("p/0", 1, 1))
    assert grants.install(3, 1.0, {"p/0": 7}) == Accepted()
    assert grants.allows(Fence("p/0", 3, 7))
    for other in (Fence("p/0", 2, 7), Fence("p/0", 4, 7), Fence("p/0", 3, 6), Fence("p/1", 3, 7)):
        assert not grants.allows(other)
    assert not grants.allows(None)


def test_a_grant_lapses_on_the_servers_own_clock_and_is_not_renewed_after() -> None:
    clock = ManualClock()
    grants = Grants(clock)
    grants.install(3, 1.0, {"p/0": 7})
    clock.advance(0.9)
    assert grants.renew(3, 1.0) == Accepted()
    clock.advance(0.9)
    assert grants.allows(Fence("p/0", 3, 7))
    clock.advance(0.1)
    assert not grants.allows(Fence("p/0", 3, 7))
    assert grants.renew(3, 1.0) == GrantLapsed()


def test_a_higher_term_shuts_out_lower_ones_even_after_its_lapse() -> None:
    clock = ManualClock()
    grants = Grants(clock)
    grants.install(3, 1.0, {"p/0": 7})
    grants.install(4, 1.0, {"p/0": 7})
    clock.advance(2.0)
    assert grants.install(3, 1.0, {"p/0": 7}) == HigherTerm(4)
    assert grants.renew(3, 1.0) == HigherTerm(4)
    assert grants.release(3, "p/0") == HigherTerm(4)
    assert grants.renew(5, 1.0) == GrantLapsed()


def test_a_released_shard_and_one_left_out_are_granted_no_more() -> None:
    grants = Grants(ManualClock())
    grants.install(3, 1.0, {"p/0": 7, "p/1": 2})
    assert grants.release(3, "p/0") == Accepted()
    assert not grants.allows(Fence("p/0", 3, 7))
    assert grants.allows(Fence("p/1", 3, 2))
    grants.install(3, 1.0, {"p/0": 8})
    assert not grants.allows(Fence("p/1", 3, 2))


def test_a_grant_that_was_held_up_is_born_lapsed() -> None:
    clock = ManualClock(10.0)
    grants = Grants(clock)
    told_ms = grants.clock_ms
    clock.advance(5.0)  # the server was frozen with the call in its socket buffer
    assert grants.install(3, 0.8, {"p/0": 7}, call=1, clock_ms=told_ms) == Accepted()
    assert not grants.allows(Fence("p/0", 3, 7))


def test_a_grant_that_was_overtaken_cannot_bring_a_released_shard_back() -> None:
    grants = Grants(ManualClock())
    assert grants.install(3, 1.0, {"p/1": 2}, call=2) == Accepted()
    grants.release(3, "p/0")
    assert grants.install(3, 1.0, {"p/0": 7, "p/1": 2}, call=1) == HigherTerm(3)
    assert not grants.allows(Fence("p/0", 3, 7))
    assert grants.install(4, 1.0, {"p/0": 8}, call=1) == Accepted()


def test_a_grant_from_before_a_restart_brings_no_released_shard_back() -> None:
    clock = ManualClock(start_s=100.0)  # the host's, which goes on over the restart
    before = Grants(clock)
    reading_ms = before.clock_ms
    before.install(3, 1.0, {"p/0": 7}, call=1, clock_ms=reading_ms)
    before.release(3, "p/0")
    clock.advance(0.2)
    after = Grants(clock)
    delayed = after.install(3, 1.0, {"p/0": 7}, call=1, clock_ms=reading_ms)
    assert delayed == GrantLapsed()
    assert not after.allows(Fence("p/0", 3, 7))
    assert after.install(3, 1.0, {}, call=2, clock_ms=after.clock_ms) == Accepted()


def test_a_reading_of_the_future_grants_nothing() -> None:
    grants = Grants(ManualClock(start_s=1.0))
    assert grants.install(3, 1.0, {"p/0": 7}, clock_ms=5_000) == GrantLapsed()
    assert not grants.allows(Fence("p/0", 3, 7))
