from __future__ import annotations

from fuchsiawell.shards import GrantExpiryTracker, GrantTiming

TIMING = GrantTiming()
NEVER = float("-inf")


def test_released_keys_are_free_at_once_when_every_grant_was_answered() -> None:
    book = GrantExpiryTracker(TIMING, NEVER)
    book.record_accepted("l", 10.0)
    assert book.release_complete_at("l", 11.0) == 11.0


def test_a_grant_without_an_answer_may_still_take_effect_after_the_release() -> None:
    book = GrantExpiryTracker(TIMING, NEVER)
    book.record_accepted("l", 9.0)
    book.record_unanswered("l", 10.0)
    assert book.release_complete_at("l", 10.1) == 10.0 + TIMING.max_ttl_s


def test_a_silent_server_holds_until_its_last_grant_has_run_out_on_a_slow_clock() -> None:
    book = GrantExpiryTracker(TIMING, NEVER)
    book.record_accepted("l", 10.0)
    free_at = book.grants_expired_at("l", 10.5)
    assert free_at >= 10.0 + TIMING.ttl_s * 1.02
    assert book.grants_expired_at("l", 12.0) == free_at


def test_a_predecessor_that_was_not_heard_from_may_still_renew() -> None:
    book = GrantExpiryTracker(TIMING, 10.0 + TIMING.renew_without_store_s)
    assert (
        book.grants_expired_at("l", 10.0) == 10.0 + TIMING.renew_without_store_s + TIMING.max_ttl_s
    )
    book.record_predecessor_stopped(11.0)
    assert book.grants_expired_at("l", 11.0) == 11.0 + TIMING.max_ttl_s


def test_once_a_server_took_a_newer_fence_the_predecessor_does_not_count() -> None:
    book = GrantExpiryTracker(TIMING, 10.0 + TIMING.renew_without_store_s)
    book.record_accepted("l", 10.1)
    assert book.grants_expired_at("l", 10.2) == 10.1 + TIMING.max_ttl_s
