"""Guards against a new owner while a grant of the previous owner may still be valid."""

from __future__ import annotations

from fuchsiawell.shards import GrantExpiryTracker, GrantTiming

TIMING = GrantTiming()
RANGE = (0, 99)


def test_released_keys_are_free_at_once_when_no_grant_is_unanswered() -> None:
    tracker = GrantExpiryTracker(TIMING, {})
    tracker.record_accepted("l", *RANGE, 10.0)
    assert tracker.release_complete_at("l", *RANGE, 11.0) == 11.0


def test_release_waits_for_the_expiry_of_an_unanswered_grant() -> None:
    tracker = GrantExpiryTracker(TIMING, {})
    tracker.record_accepted("l", *RANGE, 9.0)
    tracker.record_unanswered("l", 10.0)
    assert tracker.release_complete_at("l", *RANGE, 10.1) == 10.0 + TIMING.max_ttl_s


def test_grants_of_an_unresponsive_server_expire_by_its_slow_clock() -> None:
    tracker = GrantExpiryTracker(TIMING, {})
    tracker.record_accepted("l", *RANGE, 10.0)
    expired_at = tracker.grants_expired_at("l", [RANGE], 10.5)
    assert expired_at >= 10.0 + TIMING.ttl_s * 1.02
    assert tracker.grants_expired_at("l", [RANGE], 12.0) == expired_at


def test_predecessor_may_renew_until_it_is_known_to_have_stopped() -> None:
    tracker = GrantExpiryTracker(TIMING, {"d-1": 10.0 + TIMING.renew_without_store_s})
    assert (
        tracker.grants_expired_at("l", [RANGE], 10.0)
        == 10.0 + TIMING.renew_without_store_s + TIMING.max_ttl_s
    )
    tracker.record_granter_stopped("d-1", 11.0)
    assert tracker.grants_expired_at("l", [RANGE], 11.0) == 11.0 + TIMING.max_ttl_s


def test_predecessor_does_not_count_once_a_server_accepted_a_newer_fence() -> None:
    tracker = GrantExpiryTracker(TIMING, {"d-1": 10.0 + TIMING.renew_without_store_s})
    tracker.record_accepted("l", *RANGE, 10.1)
    assert tracker.grants_expired_at("l", [RANGE], 10.2) == 10.1 + TIMING.max_ttl_s


# Guards against a report of the last granter that ends the wait for one before it, which still
# renews its grants (review/5).
def test_report_of_one_granter_does_not_end_the_wait_for_another() -> None:
    until_s = 10.0 + TIMING.renew_without_store_s
    tracker = GrantExpiryTracker(TIMING, {"d-1": until_s - 2.0, "d-2": until_s})
    tracker.record_granter_stopped("d-2", 11.0)
    assert tracker.release_complete_at("l", *RANGE, 11.0) == until_s - 2.0 + TIMING.max_ttl_s
    assert tracker.remaining_s_by_granter(11.0) == {"d-1": until_s - 2.0 - 11.0}
    tracker.record_granter_stopped("d-3", 12.0)
    assert tracker.release_complete_at("l", *RANGE, 12.0) == until_s - 2.0 + TIMING.max_ttl_s


# Guards against a fence that a server has accepted on one range and that counts for another, where
# it would still accept older ones.
def test_accepted_fence_counts_for_its_own_range_only() -> None:
    until_s = 10.0 + TIMING.renew_without_store_s
    tracker = GrantExpiryTracker(TIMING, {"d-1": until_s})
    tracker.record_accepted("l", 0, 99, 10.1)
    assert tracker.release_complete_at("l", 0, 99, 10.2) == 10.2
    assert tracker.release_complete_at("l", 50, 60, 10.2) == 10.2
    assert tracker.release_complete_at("l", 50, 150, 10.2) == until_s + TIMING.max_ttl_s
    assert tracker.grants_expired_at("l", [(0, 99), (200, 299)], 10.2) == until_s + TIMING.max_ttl_s
    tracker.record_accepted("l", 100, 150, 10.3)
    assert tracker.release_complete_at("l", 50, 150, 10.4) == 10.4
    tracker.forget("l")
    assert tracker.release_complete_at("l", 0, 99, 10.5) == until_s + TIMING.max_ttl_s
