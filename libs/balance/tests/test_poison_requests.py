"""Guards against a request that crashes one backend server after the other."""

from __future__ import annotations

from fuchsiawell.balance import PoisonRequestDetector


def test_request_is_refused_after_crashing_two_incarnations() -> None:
    detector = PoisonRequestDetector()
    detector.record_crash(7, "i-1/1", 0.0)
    assert not detector.is_poison(7, 0.0)
    detector.record_crash(7, "i-1/1", 0.1)
    assert not detector.is_poison(7, 0.1)
    detector.record_crash(7, "i-2/1", 0.2)
    assert detector.is_poison(7, 0.3)


def test_response_clears_a_suspected_request() -> None:
    detector = PoisonRequestDetector()
    detector.record_crash(7, "i-1/1", 0.0)
    detector.record_crash(7, "i-2/1", 0.0)
    assert detector.clear(7)
    assert not detector.is_poison(7, 0.1)


def test_suspicion_expires_and_the_number_of_suspects_is_bounded() -> None:
    detector = PoisonRequestDetector()
    for number in range(5000):
        detector.record_crash(number, "i-1/1", 0.0)
        detector.record_crash(number, "i-2/1", 0.0)
    assert not detector.is_poison(0, 0.0)
    assert detector.is_poison(4999, 0.0)
    assert not detector.is_poison(4999, 100.0)
