"""Load pattern: many daemons, whose messages to all others would grow by the square."""

from __future__ import annotations

from fuchsiawell.balance.daemon_groups import GROUP_SIZE, GroupMember, group_daemons


def _fleet(count: int, zones: int = 4) -> list[GroupMember]:
    return [
        GroupMember(f"d-{n}", f"z{n % zones}", 2.0 if n < 2 * zones else 0.4) for n in range(count)
    ]


def test_few_daemons_are_one_group_whatever_their_zones() -> None:
    assert len(group_daemons(_fleet(GROUP_SIZE))) == 1


def test_many_daemons_form_groups_within_zones_none_far_above_the_size() -> None:
    for count in (25, 70, 300, 1700):
        fleet = _fleet(count)
        zone_by_name = {member.name: member.zone for member in fleet}
        groups = group_daemons(fleet)
        assert sorted(name for group in groups for name in group) == sorted(zone_by_name)
        for group in groups:
            assert len({zone_by_name[name] for name in group}) == 1
            assert len(group) <= 2 * GROUP_SIZE


def test_the_strongest_lead_their_group() -> None:
    strength_by_name = {member.name: member.strength for member in _fleet(70)}
    for group in group_daemons(_fleet(70)):
        strengths = [strength_by_name[name] for name in group]
        assert strengths == sorted(strengths, reverse=True)


def test_all_daemons_find_the_same_groups_in_any_order() -> None:
    assert group_daemons(reversed(_fleet(70))) == group_daemons(_fleet(70))


def test_a_daemon_that_leaves_moves_no_other_unless_the_number_of_groups_changes() -> None:
    whole = group_daemons(_fleet(200))
    left = group_daemons(_fleet(199))
    assert len(whole) == len(left)
    gone = "d-199"
    assert [tuple(name for name in group if name != gone) for group in whole] == left
