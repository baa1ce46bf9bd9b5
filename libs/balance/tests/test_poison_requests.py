from __future__ import annotations

from fuchsiawell.balance import PoisonRequestDetector


def test_a_request_that_crashed_two_lives_is_refused() -> None:
    suspects = PoisonRequestDetector()
    suspects.record_crash(7, "i-1/1", 0.0)
    assert not suspects.is_poison(7, 0.0)
    suspects.record_crash(7, "i-1/1", 0.1)
    assert not suspects.is_poison(7, 0.1)
    suspects.record_crash(7, "i-2/1", 0.2)
    assert suspects.is_poison(7, 0.3)


def test_an_answer_clears_a_request_that_was_only_near() -> None:
    suspects = PoisonRequestDetector()
    suspects.record_crash(7, "i-1/1", 0.0)
    suspects.record_crash(7, "i-2/1", 0.0)
    assert suspects.clear(7)
    assert not suspects.is_poison(7, 0.1)


def test_suspicion_ends_and_memory_is_bounded() -> None:
    suspects = PoisonRequestDetector()
    for number in range(5000):
        suspects.record_crash(number, "i-1/1", 0.0)
        suspects.record_crash(number, "i-2/1", 0.0)
    assert not suspects.is_poison(0, 0.0)
    assert suspects.is_poison(4999, 0.0)
    assert not suspects.is_poison(4999, 100.0)
