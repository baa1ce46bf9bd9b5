"""The audit of versions reports what the bound of configuration forbids and accepts the rest."""

from __future__ import annotations

from fuchsiawell.soak.contact import CONTACT_S, Contact
from fuchsiawell.soak.version_audit import BOUND_S, VersionAudit


def audit_with_version(contact: Contact | None = None) -> VersionAudit:
    """Return an audit of version 2, written at 10 s, and of a daemon that answered before."""
    audit = VersionAudit(contact or Contact())
    audit.record_written(1, 0.0)
    audit.record_answer("d-1", 1, 200, 5.0, 5.0)
    audit.record_written(2, 10.0)
    return audit


def violations_after_miss(audit: VersionAudit, sent_s: float) -> int:
    audit.record_answer("d-1", 2, 404, sent_s, sent_s + 0.1)
    return len(audit.violations())


def test_missing_route_after_the_bound_is_a_violation() -> None:
    assert violations_after_miss(audit_with_version(), 9.9 + BOUND_S) == 0
    assert violations_after_miss(audit_with_version(), 10.1 + BOUND_S) == 1


def test_newest_version_past_its_bound_is_asked_for() -> None:
    audit = audit_with_version()
    assert [audit.due_version(at_s + BOUND_S) for at_s in (-0.1, 9.9, 10.0)] == [0, 1, 2]


def test_disturbance_excuses_until_the_daemon_is_in_touch() -> None:
    for name in ("d-1", None):
        for after_s, count in ((CONTACT_S - 0.2, 0), (CONTACT_S + 0.1, 1)):
            contact = Contact()
            audit = audit_with_version(contact)
            contact.record_disturbance(name, 14.0, 15.0)
            assert violations_after_miss(audit, 15.0 + after_s) == count


def test_disturbance_of_another_daemon_excuses_nothing() -> None:
    contact = Contact()
    audit = audit_with_version(contact)
    contact.record_disturbance("d-2", 14.0, 15.0)
    assert violations_after_miss(audit, 14.5) == 1


# Guards against daemons that go back to an older version, which the excuses for daemons that have
# not heard of it would cover.
def test_missing_route_that_the_same_process_has_served_is_a_violation() -> None:
    for started, count in ((False, 1), (True, 0)):
        contact = Contact()
        audit = audit_with_version(contact)
        audit.record_answer("d-1", 2, 200, 13.0, 13.1)
        contact.record_disturbance(None, 14.0, 14.5)
        if started:
            contact.record_start("d-1", 14.2)
        assert violations_after_miss(audit, 15.0) == count


def audit_after_rollback(start_s: float, kill: bool = False) -> VersionAudit:
    """Return an audit of a store that came back without version 2; all may have been killed."""
    contact = Contact()
    contact.record_disturbance(None, start_s, start_s + 0.2)
    if kill:
        contact.record_disturbance("d-1", start_s + 0.1, start_s + 0.3)
    audit = audit_with_version(contact)
    audit.record_lost(start_s, start_s + 0.2)
    return audit


def test_version_lost_before_its_bound_counts_from_its_next_write() -> None:
    assert violations_after_miss(audit_after_rollback(12.0), 100.0) == 0
    audit = audit_after_rollback(12.0)
    audit.record_written(2, 13.1)
    assert violations_after_miss(audit, 15.5) == 0
    assert violations_after_miss(audit, 15.7) == 1


# Guards against daemons that go by an older copy of the store although others know better.
def test_version_that_daemons_knew_holds_in_spite_of_a_rollback() -> None:
    assert violations_after_miss(audit_after_rollback(20.0), 23.1) == 0
    assert violations_after_miss(audit_after_rollback(20.0), 23.3) == 1


def test_version_counts_from_its_next_write_after_all_were_killed_in_a_rollback() -> None:
    assert violations_after_miss(audit_after_rollback(20.0, kill=True), 23.4) == 0
    audit = audit_after_rollback(20.0, kill=True)
    audit.record_written(3, 21.2)
    assert violations_after_miss(audit, 23.6) == 0
    assert violations_after_miss(audit, 23.8) == 1
