"""Guards against a new owner while a grant of the previous owner may still be valid."""

from __future__ import annotations

from fuchsiawell.shards import GrantExpiryTracker, GrantTiming

TIMING = GrantTiming()
NEVER = float("-inf")


def test_released_keys_are_free_at_once_when_no_grant_is_unanswered() -> None:
    tracker = GrantExpiryTracker(TIMING, NEVER)
    tracker.record_accepted("l", 10.0)
    assert tracker.release_complete_at("l", 11.0) == 11.0


def test_release_waits_for_the_expiry_of_an_unanswered_grant() -> None:
    tracker = GrantExpiryTracker(TIMING, NEVER)
    tracker.record_accepted("l", 9.0)
    tracker.record_unanswered("l", 10.0)
    assert tracker.release_complete_at("l", 10.1) == 10.0 + TIMING.max_ttl_s


def test_grants_of_an_unresponsive_server_expire_by_its_slow_clock() -> None:
    tracker = GrantExpiryTracker(TIMING, NEVER)
    tracker.record_accepted("l", 10.0)
    expired_at = tracker.grants_expired_at("l", 10.5)
    assert expired_at >= 10.0 + TIMING.ttl_s * 1.02
    assert tracker.grants_expired_at("l", 12.0) == expired_at


def test_predecessor_may_renew_until_it_is_known_to_have_stopped() -> None:
    tracker = GrantExpiryTracker(TIMING, 10.0 + TIMING.renew_without_store_s)
    assert (
        tracker.grants_expired_at("l", 10.0)
        == 10.0 + TIMING.renew_without_store_s + TIMING.max_ttl_s
    )
    tracker.record_predecessor_stopped(11.0)
    assert tracker.grants_expired_at("l", 11.0) == 11.0 + TIMING.max_ttl_s


def test_predecessor_does_not_count_once_a_server_accepted_a_newer_fence() -> None:
    tracker = GrantExpiryTracker(TIMING, 10.0 + TIMING.renew_without_store_s)
    tracker.record_accepted("l", 10.1)
    assert tracker.grants_expired_at("l", 10.2) == 10.1 + TIMING.max_ttl_s
