from __future__ import annotations

from fuchsiawell.balance import PermitWaits


def test_denial_holds_for_requests_that_are_no_more_urgent_and_for_its_time() -> None:
    waits = PermitWaits()
    waits.record_denied("i-1", 1, 2.0, now_s=10.0)
    assert waits.expected_wait_s("i-1", 1, 10.5) == 1.5
    assert waits.expected_wait_s("i-1", 2, 10.5) == 1.5
    assert waits.expected_wait_s("i-1", 0, 10.5) == 0.0
    assert waits.expected_wait_s("i-2", 1, 10.5) == 0.0
    assert waits.is_waiting("i-1", 10.5)
    assert not waits.is_waiting("i-1", 12.5)
    assert waits.expected_wait_s("i-1", 1, 12.5) == 0.0


def test_forgotten_server_has_no_wait() -> None:
    waits = PermitWaits()
    waits.record_denied("i-1", 1, 2.0, now_s=10.0)
    waits.forget("i-1")
    assert waits.expected_wait_s("i-1", 1, 10.5) == 0.0
    assert not waits.is_waiting("i-1", 10.5)
