"""A daemon must know that it reaches no server, and must not take lost servers for that."""

from __future__ import annotations

import pytest

from fuchsiawell.balance import Reachability

SERVERS = 20


def test_nothing_is_suspected_without_a_failure() -> None:
    reachability = Reachability()
    assert not reachability.suspected(100.0, SERVERS)
    reachability.record_connected("i-1", 1.0)
    assert not reachability.suspected(100.0, SERVERS)


def test_one_failure_is_suspicious_once_no_server_was_reached_for_a_while() -> None:
    reachability = Reachability()
    reachability.record_response("i-1", 10.0)
    reachability.record_failure("i-2", 10.1)
    assert not reachability.suspected(10.3, SERVERS)
    assert reachability.suspected(10.5, SERVERS)


@pytest.mark.parametrize(("servers", "failures"), [(20, 3), (2, 2), (1, 1)])
def test_failures_at_several_servers_are_suspicious_at_once(servers: int, failures: int) -> None:
    reachability = Reachability()
    reachability.record_connected("i-0", 10.0)
    for number in range(failures):
        assert not reachability.suspected(10.0, servers)
        reachability.record_failure(f"i-{number}", 10.0)
    assert reachability.suspected(10.0, servers)


# Guards against a daemon that doesn't notice a cut which leaves its open connections alive.
def test_responses_do_not_clear_failed_connections_but_a_new_connection_does() -> None:
    reachability = Reachability()
    for number in range(3):
        reachability.record_failure(f"i-{number}", 10.0)
        reachability.record_response("i-9", 10.0)
    assert reachability.suspected(10.0, SERVERS)
    reachability.record_connected("i-9", 10.0)
    assert not reachability.suspected(10.0, SERVERS)
    assert not reachability.suspected(99.0, SERVERS)


def test_repeated_failures_of_one_server_count_once() -> None:
    reachability = Reachability()
    reachability.record_response("i-1", 10.0)
    for _ in range(5):
        reachability.record_failure("i-2", 10.0)
    assert not reachability.suspected(10.1, SERVERS)


def test_only_probes_begin_and_end_a_cut() -> None:
    reachability = Reachability()
    for number in range(5):
        reachability.record_failure(f"i-{number}", 10.0)
    assert not reachability.cut_off
    reachability.record_probes(reached=False, now_s=10.5)
    assert reachability.cut_off
    assert reachability.cut_off_since_s == 10.5
    reachability.record_connected("i-1", 10.6)
    reachability.record_response("i-1", 10.6)
    assert reachability.cut_off


def test_a_cut_ends_after_two_successful_probes_in_a_row() -> None:
    reachability = Reachability()
    reachability.record_probes(reached=False, now_s=10.0)
    for reached in (True, False, True):
        reachability.record_probes(reached, now_s=11.0)
        assert reachability.cut_off
    reachability.record_probes(reached=True, now_s=12.0)
    assert not reachability.cut_off
    assert reachability.cut_off_since_s is None


def test_a_successful_probe_without_a_cut_ends_the_suspicion() -> None:
    reachability = Reachability()
    for number in range(3):
        reachability.record_failure(f"i-{number}", 10.0)
    reachability.record_probes(reached=True, now_s=10.1)
    assert not reachability.cut_off
    assert not reachability.suspected(10.1, SERVERS)


def test_a_removed_server_is_forgotten() -> None:
    reachability = Reachability()
    reachability.record_connected("i-1", 10.0)
    reachability.record_failure("i-1", 10.1)
    reachability.forget("i-1")
    assert not reachability.failed_ids
    assert reachability.contact_s("i-1") == float("-inf")
    assert reachability.reached_since(9.9)


# Guards against a daemon without a request that fails: connections that hang bring no failure
# before the deadline.
def test_overdue_calls_count_as_failures_when_no_server_was_reached_lately() -> None:
    reachability = Reachability()
    reachability.record_response("i-9", 10.0)
    calls = [reachability.start_call(f"i-{number}", 10.25) for number in range(3)]
    reachability.record_overdue(10.3)
    assert not reachability.suspected(10.3, SERVERS)
    reachability.end_call(calls[0])
    reachability.record_overdue(10.5)
    assert reachability.failed_ids == {"i-1", "i-2"}
    assert reachability.suspected(10.5, SERVERS)


# Guards against probes without end because of one slow response.
def test_an_overdue_call_counts_once() -> None:
    reachability = Reachability()
    reachability.start_call("i-1", 10.0)
    reachability.record_overdue(11.0)
    reachability.record_connected("i-2", 11.1)
    reachability.record_overdue(12.0)
    assert not reachability.suspected(12.0, SERVERS)


def test_a_new_connection_is_told_from_a_response() -> None:
    reachability = Reachability()
    reachability.record_response("i-1", 10.0)
    assert reachability.reached_since(9.9)
    assert not reachability.connected_since(9.9)
    reachability.record_connected("i-1", 10.1)
    assert reachability.connected_since(10.0)


@pytest.mark.parametrize(
    ("contact_s", "failures_s", "since_s"),
    [(10.0, [10.2, 10.3], 10.0), (10.25, [10.2, 10.3], 10.2), (None, [10.2], 0.0)],
)
def test_failures_are_dated_back_to_the_last_contact(
    contact_s: float | None, failures_s: list[float], since_s: float
) -> None:
    reachability = Reachability()
    for number, failed_s in enumerate(failures_s):
        reachability.record_failure(f"i-{number}", failed_s)
    if contact_s is not None:
        reachability.record_response("i-9", contact_s)
    reachability.record_probes(reached=False, now_s=11.0)
    assert reachability.impaired_since_s == since_s
