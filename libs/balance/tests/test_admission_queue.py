"""The patterns that waiting answers: ranks, overload, requests that give up."""

from __future__ import annotations

from fuchsiawell.balance import AdmissionQueue, QueuedRequest

LATER = 1000.0


class List:
    """A list that notes who was woken."""

    def __init__(self) -> None:
        self.waiting = AdmissionQueue()
        self.woken: list[str] = []

    def enqueue(
        self, name: str, priority: int, due_s: float, in_time_s: float = LATER
    ) -> QueuedRequest:
        waiter = self.waiting.enqueue(priority, due_s, in_time_s, lambda: self.woken.append(name))
        assert waiter is not None
        return waiter


def test_the_most_urgent_are_woken_first_and_no_more_than_there_is_room() -> None:
    made = List()
    made.enqueue("low", 2, 1.0)
    made.enqueue("late", 1, 9.0)
    made.enqueue("soon", 1, 5.0)
    made.waiting.wake(2, 0.0)
    assert made.woken == ["soon", "late"]


def test_under_overload_those_that_can_be_in_time_go_before_those_that_cannot() -> None:
    made = List()
    made.enqueue("missed", 1, 5.0, in_time_s=1.0)
    made.enqueue("fresh", 1, 9.0, in_time_s=4.0)
    made.waiting.wake(1, 2.0)
    assert made.woken == ["fresh"]
    made.waiting.wake(1, 2.0)
    assert made.woken == ["fresh", "missed"]


def test_a_woken_request_that_found_no_room_keeps_its_place() -> None:
    made = List()
    first = made.enqueue("first", 1, 1.0)
    made.enqueue("second", 1, 2.0)
    made.waiting.wake(1, 0.0)
    made.waiting.requeue(first)
    made.waiting.wake(1, 0.0)
    assert made.woken == ["first", "first"]


def test_a_request_that_left_is_not_woken() -> None:
    made = List()
    made.waiting.remove(made.enqueue("first", 1, 1.0))
    made.waiting.wake(5, 0.0)
    assert made.woken == []
    assert len(made.waiting) == 0


def test_the_wait_grows_with_those_ahead() -> None:
    made = List()
    for turn in range(5):
        made.waiting.started(turn * 0.1, waited_since_s=0.0)
    made.enqueue("one", 1, 1.0)
    made.enqueue("two", 2, 1.0)
    waiting = made.waiting
    assert (
        waiting.expected_wait_s(0, 0.5)
        < waiting.expected_wait_s(1, 0.5)
        < waiting.expected_wait_s(2, 0.5)
    )
    assert waiting.expected_wait_s(0, 0.5, late=True) == waiting.expected_wait_s(2, 0.5)


def test_time_in_which_nobody_waited_is_no_wait() -> None:
    """Load pattern: many daemons, so that each rarely sends a request to a given server."""
    waiting = AdmissionQueue()
    waiting.started(0.0)
    waiting.started(10.3, waited_since_s=10.2)
    assert 0.09 < waiting.expected_wait_s(1, 10.4) < 0.11


def test_an_old_wait_is_not_believed_for_ever() -> None:
    """Load pattern: a short hot time, after which refused requests would measure nothing more."""
    waiting = AdmissionQueue()
    waiting.started(3.0, waited_since_s=1.0)
    assert waiting.expected_wait_s(1, 3.5) > 1.0
    assert waiting.expected_wait_s(1, 6.0) == 0.0
    waiting.started(7.0, waited_since_s=6.9)
    assert waiting.expected_wait_s(1, 7.0) < 0.2


def test_the_list_is_bounded() -> None:
    waiting = AdmissionQueue()
    entered = [waiting.enqueue(1, 1.0, LATER, lambda: None) for _ in range(700)]
    assert entered[-1] is None
