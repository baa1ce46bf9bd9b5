from __future__ import annotations

from collections import Counter

from fuchsiawell.balance import rendezvous_order

MEMBERS = [f"d-{number}" for number in range(20)]


def test_order_depends_on_the_members_alone() -> None:
    for task in ("i-1", "i-2", "i-3"):
        expected = rendezvous_order(task, MEMBERS, 3)
        assert rendezvous_order(task, reversed(MEMBERS), 3) == expected
        assert rendezvous_order(task, [m for m in MEMBERS if m != expected[0]], 2) == expected[1:]


def test_tasks_are_spread_over_the_members() -> None:
    first = Counter(rendezvous_order(f"i-{number}", MEMBERS, 1)[0] for number in range(2000))
    assert set(first) == set(MEMBERS)
    assert max(first.values()) < 2 * 2000 / 20
