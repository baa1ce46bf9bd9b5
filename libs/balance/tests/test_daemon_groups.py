"""Guards against messages between daemons that grow with the square of their number."""

from __future__ import annotations

from fuchsiawell.balance.daemon_groups import GROUP_SIZE, GroupMember, group_daemons


def _members(count: int, zones: int = 4) -> list[GroupMember]:
    return [
        GroupMember(f"d-{n}", f"z{n % zones}", 2.0 if n < 2 * zones else 0.4) for n in range(count)
    ]


def test_few_daemons_form_one_group_across_zones() -> None:
    assert len(group_daemons(_members(GROUP_SIZE))) == 1


def test_many_daemons_form_groups_of_bounded_size_within_zones() -> None:
    for count in (25, 70, 300, 1700):
        members = _members(count)
        zone_by_name = {member.name: member.zone for member in members}
        groups = group_daemons(members)
        assert sorted(name for group in groups for name in group) == sorted(zone_by_name)
        for group in groups:
            assert len({zone_by_name[name] for name in group}) == 1
            assert len(group) <= 2 * GROUP_SIZE


def test_daemons_with_the_largest_capacity_come_first() -> None:
    capacity_by_name = {member.name: member.capacity_cores for member in _members(70)}
    for group in group_daemons(_members(70)):
        capacities = [capacity_by_name[name] for name in group]
        assert capacities == sorted(capacities, reverse=True)


def test_groups_do_not_depend_on_the_order_of_members() -> None:
    assert group_daemons(reversed(_members(70))) == group_daemons(_members(70))


def test_other_daemons_keep_their_group_when_one_leaves() -> None:
    before = group_daemons(_members(200))
    remaining = group_daemons(_members(199))
    assert len(before) == len(remaining)
    removed = "d-199"
    assert [tuple(name for name in group if name != removed) for group in before] == remaining
