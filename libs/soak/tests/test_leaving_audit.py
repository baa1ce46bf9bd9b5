"""The audit of leaving servers reports what the rule forbids and accepts what it excuses."""

from __future__ import annotations

from fuchsiawell.soak.leaving_audit import DRAIN_S, LeavingAudit


def audit_with_request(sent_s: float, daemon: str = "d-1") -> LeavingAudit:
    """Return an audit in which d-1 passed on at 10 s that i-1 leaves, before a request came."""
    audit = LeavingAudit()
    audit.record_told("i-1", "d-1", 10.0)
    audit.record_sent("q1", daemon, sent_s)
    audit.record_arrival("i-1", "q1", sent_s + 0.1)
    return audit


def test_request_sent_later_than_the_drain_time_is_a_violation() -> None:
    assert audit_with_request(10.0 + DRAIN_S).violations() == []
    assert len(audit_with_request(10.1 + DRAIN_S).violations()) == 1


def test_daemon_that_passed_nothing_on_is_not_bound() -> None:
    assert audit_with_request(20.0, "d-2").violations() == []


def test_restart_since_then_excuses_until_the_daemon_passes_it_on_again() -> None:
    audit = audit_with_request(20.0)
    audit.record_disturbance("d-1", 11.0, 12.0)
    assert audit.violations() == []
    audit.record_told("i-1", "d-1", 13.0)
    assert len(audit.violations()) == 1


# Guards against requests that reach the server through a daemon that has passed it on.
def test_request_of_another_daemon_counts_for_the_one_that_sends_it() -> None:
    audit = audit_with_request(20.0, "d-2")
    audit.record_arrival("i-1", "q1", 20.1, "d-1")
    assert len(audit.violations()) == 1
