"""The audit of daemons that are cut off from all servers counts as the rule does."""

from __future__ import annotations

import pytest

from fuchsiawell.soak.recover_audit import RecoverAudit


def audit(cut: tuple[int, int], others: tuple[int, int], sent_s: float = 14.0) -> RecoverAudit:
    """Return the audit of a cut from 10 to 20 s, with (served, sent) first tries at one time."""
    result = RecoverAudit()
    result.record_cut({"d-1", "d-2"}, 10.0, 20.0)
    for daemon, (served, sent) in (("d-1", cut), ("d-3", others)):
        for number in range(sent):
            result.record_first_try(daemon, sent_s, number < served)
    return result


@pytest.mark.parametrize(
    ("cut", "others", "broken"),
    [
        ((0, 100), (300, 300), True),
        ((65, 100), (300, 300), True),
        ((67, 100), (300, 300), False),
        # Less than two thirds as often, but no more failures than are tolerated.
        ((0, 10), (300, 300), False),
        ((0, 16), (300, 300), False),
        ((0, 17), (300, 300), True),
        # The others are served badly too.
        ((5, 652), (138, 536), True),
        ((200, 652), (138, 536), False),
        # Nobody else serves.
        ((0, 100), (0, 100), False),
        ((0, 100), (0, 0), False),
    ],
)
def test_first_tries_at_cut_daemons_are_compared_with_the_others(
    cut: tuple[int, int], others: tuple[int, int], broken: bool
) -> None:
    assert bool(audit(cut, others).violations()) == broken


@pytest.mark.parametrize("sent_s", [9.9, 12.9, 20.0])
def test_first_tries_outside_the_counted_time_do_not_count(sent_s: float) -> None:
    assert not audit((0, 100), (100, 100), sent_s).violations()


def test_tries_at_disturbed_daemons_do_not_count() -> None:
    result = audit((0, 100), (100, 100))
    result.record_disturbance("d-1", 8.0, 11.5)
    assert not result.violations()


# Guards against a comparison of different moments: the only other daemon is frozen at 12 s, so that
# nobody serves, and tries at it do not count until 15.5 s.
def test_tries_count_only_while_both_sides_are_in_touch() -> None:
    result = audit((0, 100), (100, 100), sent_s=14.0)
    for _ in range(100):
        result.record_first_try("d-1", 17.0, True)
        result.record_first_try("d-3", 17.0, True)
    assert result.violations()
    result.record_disturbance("d-3", 12.0, 12.5)
    assert not result.violations()
    for _ in range(100):
        result.record_first_try("d-1", 18.0, False)
        result.record_first_try("d-3", 18.0, True)
    assert "served 100 of 200 first tries, the others 200 of 200" in result.violations()[0]


def test_daemons_of_another_cut_are_not_compared_with() -> None:
    result = audit((90, 100), (100, 100))
    result.record_cut({"d-4"}, 5.0, 12.0)
    for _ in range(1000):
        result.record_first_try("d-4", 14.0, False)
    assert not result.violations()


@pytest.mark.parametrize(("others", "broken"), [((30, 100), True), ((70, 100), False)])
def test_the_others_must_serve_in_a_cut_without_other_faults(
    others: tuple[int, int], broken: bool
) -> None:
    result = audit((100, 100), others)
    assert not result.violations()
    result.record_cut({"d-1", "d-2"}, 10.0, 20.0, alone=True)
    assert bool(result.violations()) == broken


# The others serve enough of their first tries, though not all, and the cut daemons serve none.
def test_failures_at_the_others_do_not_excuse_cut_daemons() -> None:
    result = audit((0, 100), (80, 100))
    result.record_cut({"d-1", "d-2"}, 10.0, 20.0, alone=True)
    assert len(result.violations()) == 2
