"""The audit of removed entries reports late requests and accepts what contact excuses."""

from __future__ import annotations

from fuchsiawell.soak.contact import CONTACT_S, Contact
from fuchsiawell.soak.removal_audit import DRAIN_S, RemovalAudit


def audit_with_request(at_s: float, contact: Contact | None = None) -> RemovalAudit:
    """Return an audit in which an entry was removed at 10 s and a request came at a time."""
    audit = RemovalAudit(contact or Contact())
    audit.record_removed("i-1/1", 10.0)
    audit.record_arrival("i-1/1", "d-1", at_s)
    audit.record_arrival("i-2/1", "d-1", at_s)
    return audit


def test_request_later_than_the_drain_time_is_a_violation() -> None:
    assert audit_with_request(10.0 + DRAIN_S).violations() == []
    assert len(audit_with_request(10.1 + DRAIN_S).violations()) == 1


def test_daemon_that_was_not_in_touch_since_is_excused() -> None:
    contact = Contact()
    contact.record_disturbance("d-1", 9.0, 15.0)
    assert audit_with_request(14.0, contact).violations() == []
    assert audit_with_request(15.0 + CONTACT_S, contact).violations() == []
    assert len(audit_with_request(15.1 + CONTACT_S, contact).violations()) == 1


# Guards against servers that come back with an older copy of the store, for a time that is shorter
# than the one for which its absence excuses daemons.
def test_process_that_has_been_in_touch_does_not_forget_the_removal() -> None:
    for started, count in ((False, 1), (True, 0)):
        contact = Contact()
        contact.record_disturbance(None, 14.0, 14.5)
        if started:
            contact.record_start("d-1", 14.2)
        assert len(audit_with_request(15.0, contact).violations()) == count


def test_process_in_touch_once_between_two_disturbances_does_not_forget() -> None:
    contact = Contact()
    contact.record_disturbance("d-1", 9.0, 12.5)
    contact.record_disturbance(None, 16.0, 16.5)
    assert audit_with_request(15.4, contact).violations() == []
    assert len(audit_with_request(17.0, contact).violations()) == 1
