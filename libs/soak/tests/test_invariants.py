"""Each invariant check reports its violation and accepts what is allowed."""

from __future__ import annotations

from fuchsiawell.soak.invariants import InvariantChecker, RequestResult


def result(
    request_id: str, status: int, idempotent: bool = False, **changes: object
) -> RequestResult:
    fields: dict = {
        "request_id": request_id,
        "idempotent": idempotent,
        "status": status,
        "response_id": request_id,
        "signed": True,
        "body": b"i-1 ran " + request_id.encode(),
    }
    return RequestResult(**{**fields, **changes})


def checker_with_sent(*ids: str, idempotent: bool = False) -> InvariantChecker:
    checker = InvariantChecker()
    for request_id in ids:
        checker.record_sent(request_id, idempotent)
    return checker


def test_valid_run_has_no_violations() -> None:
    checker = checker_with_sent("q1", "q2")
    checker.record_execution("q1", "i-1")
    checker.check_result(result("q1", 200))
    checker.check_result(result("q2", 503))
    checker.check_grant("i-1/1", 0, 99, 1, 10.0, 0.0)
    checker.record_release("i-1/1", 0, 49)
    checker.check_grant("i-2/1", 0, 49, 2, 10.0, 1.0)
    assert checker.check_end() == []


def test_non_idempotent_request_executed_twice_is_a_violation() -> None:
    checker = checker_with_sent("q1")
    checker.record_execution("q1", "i-1")
    checker.record_execution("q1", "i-2")
    assert len(checker.check_end()) == 1


def test_idempotent_request_may_be_executed_twice() -> None:
    checker = checker_with_sent("q1", idempotent=True)
    checker.record_execution("q1", "i-1")
    checker.record_execution("q1", "i-2")
    assert checker.check_end() == []


def test_refused_request_that_was_executed_is_a_violation() -> None:
    checker = checker_with_sent("q1")
    checker.check_result(result("q1", 503))
    checker.record_execution("q1", "i-1")
    assert len(checker.check_end()) == 1


def test_each_incomplete_or_misrouted_response_is_a_violation() -> None:
    checker = checker_with_sent("q1")
    checker.check_result(result("q1", 200, response_id="q2"))
    checker.check_result(result("q1", 200, signed=False))
    checker.check_result(result("q1", 200, body=b"i-1 ran q"))
    checker.check_result(result("q1", 404))
    assert len(checker.check_end()) == 4


def test_execution_of_request_that_was_never_sent_is_a_violation() -> None:
    checker = checker_with_sent()
    checker.record_execution("q9", "i-1")
    assert len(checker.check_end()) == 1


def test_overlapping_grants_to_two_servers_are_a_violation() -> None:
    checker = checker_with_sent()
    checker.check_grant("i-1/1", 0, 99, 1, 10.0, 0.0)
    checker.check_grant("i-2/1", 50, 60, 2, 12.0, 9.0)
    assert len(checker.check_end()) == 1


def test_grant_after_expiry_or_incarnation_end_is_valid() -> None:
    checker = checker_with_sent()
    checker.check_grant("i-1/1", 0, 99, 1, 10.0, 0.0)
    checker.check_grant("i-2/1", 50, 60, 2, 20.0, 10.5)
    checker.record_incarnation_end("i-2/1")
    checker.check_grant("i-3/1", 50, 60, 3, 20.0, 11.0)
    assert checker.check_end() == []


def test_grant_with_fence_that_did_not_increase_is_a_violation() -> None:
    checker = checker_with_sent()
    checker.check_grant("i-1/1", 0, 99, 5, 10.0, 0.0)
    checker.check_grant("i-2/1", 0, 99, 5, 30.0, 20.0)
    assert len(checker.check_end()) == 1


def test_requests_that_last_too_long_after_their_deadlines_are_a_violation() -> None:
    checker = checker_with_sent()
    checker.overdue = [("d-1", 5.0, 0.6)] * 8 + [("d-2", 5.0, 0.1)] * 23
    checker.check_overdue(lambda name, _: name == "d-3")
    assert len(checker.check_end()) == 1


def test_requests_at_disturbed_daemons_and_a_few_others_may_last_longer() -> None:
    checker = checker_with_sent()
    checker.overdue = [("d-1", 5.0, 0.6)] * 7 + [("d-3", 5.0, 0.6)] * 20
    checker.check_overdue(lambda name, _: name == "d-3")
    checker.overdue = [("d-1", 5.0, 0.6)] * 8 + [("d-2", 5.0, 0.1)] * 24
    checker.check_overdue(lambda *_: False)
    assert checker.check_end() == []


def test_daemon_that_does_not_fit_its_host_is_a_violation() -> None:
    checker = checker_with_sent()
    checker.check_memory({"d-1": 199_000_000, "d-2": 201_000_000})
    assert len(checker.check_end()) == 1
