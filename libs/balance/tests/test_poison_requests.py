from __future__ import annotations

from fuchsiawell.balance import PoisonRequestDetector


def test_a_request_that_crashed_two_lives_is_refused() -> None:
    suspects = PoisonRequestDetector()
    suspects.crashed(7, "i-1/1", 0.0)
    assert not suspects.refuses(7, 0.0)
    suspects.crashed(7, "i-1/1", 0.1)
    assert not suspects.refuses(7, 0.1)
    suspects.crashed(7, "i-2/1", 0.2)
    assert suspects.refuses(7, 0.3)


def test_an_answer_clears_a_request_that_was_only_near() -> None:
    suspects = PoisonRequestDetector()
    suspects.crashed(7, "i-1/1", 0.0)
    suspects.crashed(7, "i-2/1", 0.0)
    assert suspects.answered(7)
    assert not suspects.refuses(7, 0.1)


def test_suspicion_ends_and_memory_is_bounded() -> None:
    suspects = PoisonRequestDetector()
    for number in range(5000):
        suspects.crashed(number, "i-1/1", 0.0)
        suspects.crashed(number, "i-2/1", 0.0)
    assert not suspects.refuses(0, 0.0)
    assert suspects.refuses(4999, 0.0)
    assert not suspects.refuses(4999, 100.0)
