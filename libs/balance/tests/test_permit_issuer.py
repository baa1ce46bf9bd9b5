"""Permits of a server are issued at its rate, the most urgent first, and others denied at once."""

from __future__ import annotations

from random import Random

import pytest

from fuchsiawell.balance import MIN_RATE_PER_S, PermitDecision, PermitIssuer, PermitTicket

WINDOW_S = 4.0


def ticket(number: int, priority: int = 1, latest_s: float = 0.0, asker: str = "d-1"):
    return PermitTicket(priority, latest_s, number, asker)


def granted(decisions: list[PermitDecision]) -> list[int]:
    return [decision.ticket.number for decision in decisions if decision.granted]


def test_issuer_starts_without_permits_and_says_when_the_first_is_due() -> None:
    issuer = PermitIssuer(2.0, 1.0, 2.0, 0.0)
    [decision] = issuer.request(ticket(1), 0.0)
    assert not decision.granted
    assert decision.wait_s == pytest.approx(0.5)
    assert granted(issuer.request(ticket(2, latest_s=0.5), 0.5)) == [2]


def test_queued_requests_are_served_in_order_of_priority_then_of_their_latest_time() -> None:
    issuer = PermitIssuer(1.0, 1.0, 2.0, 0.0)
    for number, priority, latest_s in ((1, 2, 9.0), (2, 1, 8.0), (3, 1, 6.0), (4, 0, 9.0)):
        assert issuer.request(ticket(number, priority, latest_s), 0.0) == []
    order = []
    while (due_s := issuer.next_due_s()) is not None:
        order += granted(issuer.poll(due_s))
    assert order == [4, 3, 2, 1]


def test_request_that_is_overtaken_for_too_long_is_denied_at_once() -> None:
    issuer = PermitIssuer(1.0, 1.0, 2.0, 0.0)
    assert issuer.request(ticket(1, 2, latest_s=1.5), 0.0) == []
    [denied] = issuer.request(ticket(2, 0, latest_s=1.5), 0.1)
    assert denied.ticket.number == 1
    assert not denied.granted
    assert denied.wait_s == pytest.approx(1.9)


def test_limit_of_zero_lets_a_rare_request_through() -> None:
    issuer = PermitIssuer(0.0, 1.0, 2.0, 0.0)
    assert not granted(issuer.request(ticket(1), 0.9 / MIN_RATE_PER_S))
    assert granted(issuer.request(ticket(2, latest_s=100.0), 1.0 / MIN_RATE_PER_S)) == [2]


# Guards against permits of the old rate after the server has lowered its limit.
def test_lowered_limit_holds_for_queued_requests() -> None:
    issuer = PermitIssuer(10.0, 1.0, 2.0, 0.0)
    issuer.request(ticket(1, latest_s=9.0), 0.0)
    issuer.set_rate(0.5, 0.0)
    assert issuer.next_due_s() == pytest.approx(2.0)


# Guards against daemons that all ask for a slow server each time a permit is due.
def test_waits_grow_with_the_number_of_daemons_that_ask() -> None:
    issuer = PermitIssuer(1.2, 1.0, 2.0, 0.0)
    for number in range(1700):
        decisions = issuer.request(ticket(number, asker=f"d-{number}"), 0.001)
    assert decisions[-1].wait_s == pytest.approx(1700 / 100, rel=0.01)


# Guards against permits that nobody asks for, because the daemons that were denied wait too long.
def test_waits_leave_two_requests_for_each_permit_of_a_high_limit() -> None:
    issuer = PermitIssuer(500.0, 1.0, 2.0, 0.0)
    for number in range(1700):
        decisions = issuer.request(ticket(number, asker=f"d-{number}"), 0.001)
    assert decisions[-1].wait_s == pytest.approx(1700 / 1000, rel=0.01)


# Guards against an issuer that begins while daemons still use the one before it.
def test_issuer_that_starts_later_denies_until_then_and_says_when() -> None:
    issuer = PermitIssuer(10.0, 1.0, 2.0, 2.0)
    [decision] = issuer.request(ticket(1, latest_s=1.0), 0.5)
    assert not decision.granted
    assert decision.wait_s == pytest.approx(1.6)
    assert issuer.request(ticket(2, latest_s=3.0), 1.0) == []
    assert issuer.next_due_s() == pytest.approx(2.1)
    assert granted(issuer.poll(2.0)) == []
    assert granted(issuer.poll(2.1)) == [2]


# Guards against timers that are due again at once for the rounding error of a token.
def test_a_permit_is_due_at_the_time_that_is_told() -> None:
    issuer = PermitIssuer(1.2, 0.4, 1.0, 0.1)
    for number in range(50):
        issuer.request(ticket(number, latest_s=1000.0), 0.1)
    for _ in range(50):
        assert len(granted(issuer.poll(issuer.next_due_s()))) == 1


@pytest.mark.parametrize("rate_per_s", [0.0, 0.3, 1.2, 7.0, 60.0])
def test_two_issuers_that_both_issue_stay_within_what_a_server_tolerates(rate_per_s: float) -> None:
    random = Random(1)
    issuers = [PermitIssuer(rate_per_s, 1.0, 2.0, 0.0), PermitIssuer(rate_per_s, 0.3, 1.0, 0.0)]
    times: list[float] = []
    now_s = 0.0
    for number in range(4000):
        # Idle times fill the buckets.
        now_s += random.expovariate(10 * rate_per_s + 1) + 5.0 * (random.random() < 0.005)
        for issuer in issuers:
            times += [now_s] * len(granted(issuer.request(ticket(number, latest_s=now_s), now_s)))
    allowed = 1.5 * WINDOW_S * rate_per_s + 5
    assert times
    for index, time_s in enumerate(times):
        window = [t for t in times[index : index + 500] if t < time_s + WINDOW_S]
        assert len(window) <= allowed
