"""A rest holds to its own end, and a server comes back with one request at a time."""

from __future__ import annotations

from fuchsiawell.balance import MAX_REST_S, ServerRests

LIFE, NEXT_LIFE = "i-1/1", "i-1/2"


def rests(rest_s: float = 3.0, now_s: float = 10.0) -> ServerRests:
    known = ServerRests()
    known.record_named("i-1", LIFE, rest_s, now_s)
    return known


def test_rest_holds_for_its_incarnation_only_and_to_its_end() -> None:
    known = rests()
    assert not known.admits(LIFE, 12.9)
    assert known.remaining_s(LIFE, 11.0) == 2.0
    assert known.admits(NEXT_LIFE, 11.0)
    assert known.admits(LIFE, 13.0)
    assert known.remaining_s(LIFE, 13.5) == 0.0


def test_shorter_rest_does_not_end_a_longer_one() -> None:
    known = rests(6.0)
    assert known.record_named("i-1", LIFE, 0.5, 11.0) == 0.0
    assert known.remaining_s(LIFE, 12.0) == 4.0
    assert known.record_named("i-1", LIFE, 6.0, 12.0) == 2.0
    assert known.remaining_s(LIFE, 12.0) == 6.0


def test_rest_of_no_length_is_none() -> None:
    known = rests(0.0)
    assert known.free_capacity(LIFE, 10.0, 7) == 7


# Guards against a server that gets nothing for good because of one invalid value.
def test_rest_is_bounded() -> None:
    known = rests(1e9)
    assert not known.admits(LIFE, 10.0 + MAX_REST_S - 0.1)
    assert known.admits(LIFE, 10.0 + MAX_REST_S)


def test_one_request_at_a_time_after_a_rest_until_one_is_answered() -> None:
    known = rests()
    assert known.free_capacity(LIFE, 13.0, 7) == 1
    assert known.start(LIFE, 13.0)
    assert known.free_capacity(LIFE, 13.1, 7) == 0
    known.finish_trial(LIFE)
    assert known.free_capacity(LIFE, 13.2, 7) == 1
    assert known.start(LIFE, 13.2)
    known.finish_trial(LIFE)
    known.record_answered(LIFE, 13.3)
    assert known.free_capacity(LIFE, 13.3, 7) == 7
    assert not known.start(LIFE, 13.3)


# Guards against a first request that hangs and keeps all others from the server.
def test_request_that_gets_no_answer_holds_off_others_for_a_second() -> None:
    known = rests()
    known.start(LIFE, 13.0)
    assert not known.admits(LIFE, 13.9)
    assert known.admits(LIFE, 14.0)


# Guards against an answer to an earlier request that ends a rest named since.
def test_answer_does_not_end_a_rest_that_runs() -> None:
    known = rests()
    known.start(LIFE, 13.0)
    known.record_named("i-1", LIFE, 3.0, 13.1)
    known.record_answered(LIFE, 13.2)
    assert not known.admits(LIFE, 16.0)


# Guards against a table that grows with each restart of a server, and against a rest that is
# forgotten because the entry of its server was missing for a moment.
def test_gone_incarnations_are_discarded_once_their_rests_are_over() -> None:
    known = rests()
    known.retain({NEXT_LIFE}, 12.0)
    assert not known.admits(LIFE, 12.0)
    known.retain({NEXT_LIFE}, 13.0)
    assert known.free_capacity(LIFE, 13.0, 7) == 7


def test_restarted_server_has_no_rest() -> None:
    known = rests()
    known.record_named("i-2", "i-2/1", 3.0, 10.0)
    known.restart("i-1", NEXT_LIFE, 10.5, 11.0)
    assert known.admits(LIFE, 11.0)
    assert known.admits(NEXT_LIFE, 11.0)
    assert not known.admits("i-2/1", 11.0)


# Guards against soak seed 3 (BUDGET): a restarted server named a rest before its new entry reached
# the daemon, which kept the rest for the old incarnation and forgot it with that.
def test_rest_named_just_before_the_entry_of_a_restarted_server_holds_for_it() -> None:
    known = rests(60.0, now_s=2.0)
    known.record_named("i-1", LIFE, 5.0, 10.0)
    known.record_named("i-1", LIFE, 1.0, 10.1)
    known.restart("i-1", NEXT_LIFE, 9.0, 10.2)
    assert known.remaining_s(NEXT_LIFE, 11.0) == 4.0
    assert known.free_capacity(NEXT_LIFE, 15.0, 7) == 1
    assert known.admits(LIFE, 10.2)


# Guards against a table that grows with each rest that a server names while it rests.
def test_rest_that_a_later_one_outlasts_is_not_kept() -> None:
    known = rests(1.0, now_s=10.0)
    for number in range(100):
        known.record_named("i-1", LIFE, 1.0, 10.0 + 0.01 * number)
    assert known.named_count(LIFE) == 1
