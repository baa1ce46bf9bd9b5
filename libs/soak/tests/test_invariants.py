"""Each check of the soak catches what it is for, and lets pass what is allowed."""

from __future__ import annotations

from fuchsiawell.soak.invariants import Got, Promises


def got(request_id: str, status: int, repeatable: bool = False, **changes: object) -> Got:
    fields: dict = {
        "request_id": request_id,
        "repeatable": repeatable,
        "status": status,
        "answered_id": request_id,
        "signed": True,
        "body": b"i-1 ran " + request_id.encode(),
    }
    return Got(**{**fields, **changes})


def sent(*ids: str, repeatable: bool = False) -> Promises:
    promises = Promises()
    for request_id in ids:
        promises.sends(request_id, repeatable)
    return promises


def test_a_sound_run_breaks_nothing() -> None:
    promises = sent("q1", "q2")
    promises.ran("q1", "i-1")
    promises.got(got("q1", 200))
    promises.got(got("q2", 503))
    promises.granted("i-1/1", 0, 99, 1, 10.0, 0.0)
    promises.released("i-1/1", 0, 49)
    promises.granted("i-2/1", 0, 49, 2, 10.0, 1.0)
    assert promises.conclude() == []


def test_work_that_must_not_repeat_and_ran_twice() -> None:
    promises = sent("q1")
    promises.ran("q1", "i-1")
    promises.ran("q1", "i-2")
    assert len(promises.conclude()) == 1


def test_repeatable_work_may_run_twice() -> None:
    promises = sent("q1", repeatable=True)
    promises.ran("q1", "i-1")
    promises.ran("q1", "i-2")
    assert promises.conclude() == []


def test_a_false_refusal() -> None:
    promises = sent("q1")
    promises.got(got("q1", 503))
    promises.ran("q1", "i-1")
    assert len(promises.conclude()) == 1


def test_wrong_answers() -> None:
    promises = sent("q1")
    promises.got(got("q1", 200, answered_id="q2"))
    promises.got(got("q1", 200, signed=False))
    promises.got(got("q1", 200, body=b"i-1 ran q"))
    promises.got(got("q1", 404))
    assert len(promises.conclude()) == 4


def test_a_request_that_nobody_sent() -> None:
    promises = sent()
    promises.ran("q9", "i-1")
    assert len(promises.conclude()) == 1


def test_two_holders_at_once() -> None:
    promises = sent()
    promises.granted("i-1/1", 0, 99, 1, 10.0, 0.0)
    promises.granted("i-2/1", 50, 60, 2, 12.0, 9.0)
    assert len(promises.conclude()) == 1


def test_a_hold_that_ran_out_or_ended_with_its_server_is_none() -> None:
    promises = sent()
    promises.granted("i-1/1", 0, 99, 1, 10.0, 0.0)
    promises.granted("i-2/1", 50, 60, 2, 20.0, 10.5)
    promises.ended("i-2/1")
    promises.granted("i-3/1", 50, 60, 3, 20.0, 11.0)
    assert promises.conclude() == []


def test_a_fence_that_does_not_rise() -> None:
    promises = sent()
    promises.granted("i-1/1", 0, 99, 5, 10.0, 0.0)
    promises.granted("i-2/1", 0, 99, 5, 30.0, 20.0)
    assert len(promises.conclude()) == 1
