from __future__ import annotations

from fuchsiawell.balance import OutlierDetector


def test_three_consecutive_failures_eject_a_server() -> None:
    detector = OutlierDetector()
    assert not detector.record_failure("s", 0.0)
    assert not detector.record_failure("s", 0.0)
    assert detector.record_failure("s", 0.0)
    assert not detector.admits("s", 0, 0.1)


def test_failures_between_successes_do_not_eject() -> None:
    detector = OutlierDetector()
    for _ in range(10):
        detector.record_failure("s", 0.0)
        detector.record_success("s")
    assert detector.admits("s", 5, 0.0)
    assert detector.failure_rate("s") > 0.3


def test_one_trial_at_a_time_after_an_ejection() -> None:
    detector = OutlierDetector()
    detector.record_failure("s", 0.0, unreachable=True)
    assert detector.admits("s", 0, 0.6)
    assert not detector.admits("s", 1, 0.6)
    detector.record_success("s")
    assert detector.admits("s", 1, 0.6)


def test_owner_is_ejected_only_when_unreachable() -> None:
    """Incident inc-c198 (Koro): full servers that reset connections were treated as lost."""
    detector = OutlierDetector()
    for _ in range(5):
        detector.record_failure("s", 0.0)
    assert not detector.admits("s", 0, 0.1)
    assert detector.admits_owner("s", 3, 0.1)
    detector.record_failure("s", 5.0, unreachable=True)
    assert not detector.admits_owner("s", 0, 5.1)


def test_ejection_time_is_bounded() -> None:
    detector = OutlierDetector()
    now_s = 0.0
    for _ in range(8):
        detector.record_failure("s", now_s, unreachable=True)
        now_s += 4.0
        assert detector.admits("s", 0, now_s)


# Guards against servers that stay ejected after a cut in which none was reached.
def test_failures_of_a_cut_are_discarded_and_earlier_ones_kept() -> None:
    detector = OutlierDetector()
    detector.record_failure("before", 9.9, unreachable=True)
    detector.record_failure("during", 10.5, unreachable=True)
    detector.discard_failures_since(10.0)
    assert not detector.admits("before", 0, 10.0)
    assert detector.admits("during", 5, 10.6)
