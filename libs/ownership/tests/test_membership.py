from __future__ import annotations

import pytest

from fuchsiawell.core import DaemonId
from fuchsiawell.ownership import HEARTBEAT_S, RIGHT_S, SILENT_S, Membership

IDS = tuple(DaemonId(f"d{n}") for n in range(1, 6))


class Cell:
    """Deliver heartbeats at once, but for links that are cut and members that are paused."""

    def __init__(self, size: int) -> None:
        self.now_s = 100.0
        self.ids = IDS[:size]
        self.members = {id: Membership(id, "vuda", 1000, self.now_s) for id in self.ids}
        for member in self.members.values():
            member.set_members(self.ids, 1, True, self.now_s)
        self.cut: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.held: list[tuple[str, str]] = []

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / HEARTBEAT_S)):
            self.now_s += HEARTBEAT_S
            self._round()

    def _round(self) -> None:
        for id, member in self.members.items():
            if id in self.paused:
                continue
            for to, heartbeat in member.heartbeats(self.now_s, self.ids).items():
                if (id, to) not in self.cut and to not in self.paused:
                    self.members[to].on_heartbeat(heartbeat, self.now_s)

    def right(self, id: str) -> bool:
        return self.members[DaemonId(id)].has_right(self.now_s)

    def lost(self, by: str) -> set[str]:
        return set(self.members[DaemonId(by)].lost_members(self.now_s))

    def isolate(self, id: str) -> None:
        self.cut |= {(id, other) for other in self.ids} | {(other, id) for other in self.ids}


@pytest.mark.parametrize("size", [1, 2, 3, 5])
def test_whole_cells_act(size: int) -> None:
    cell = Cell(size)
    cell.run(1.0)
    assert all(cell.right(id) for id in cell.ids)
    assert not any(cell.lost(id) for id in cell.ids)


def test_a_member_cut_off_lapses_before_it_is_lost() -> None:
    cell = Cell(5)
    cell.run(1.0)
    cell.isolate("d3")
    lapsed_s = lost_s = None
    for _ in range(15):
        cell.run(HEARTBEAT_S)
        if lapsed_s is None and not cell.right("d3"):
            lapsed_s = cell.now_s
        if lost_s is None and cell.lost("d1"):
            lost_s = cell.now_s
    assert lapsed_s is not None
    assert lost_s is not None
    assert lapsed_s - 101.0 <= RIGHT_S + 2 * HEARTBEAT_S
    assert lapsed_s < lost_s <= 101.0 + SILENT_S + 3 * HEARTBEAT_S
    assert cell.lost("d1") == {"d3"}
    assert not cell.lost("d3")  # a minority of one declares nobody
    assert cell.right("d1")


def test_a_lapse_raises_the_incarnation_and_a_late_echo_revives_nothing() -> None:
    cell = Cell(3)
    cell.run(1.0)
    cell.paused.add("d2")
    cell.run(3.0)
    member = cell.members[DaemonId("d2")]
    late = cell.members[DaemonId("d1")].heartbeats(cell.now_s, cell.ids)[DaemonId("d2")]
    assert not cell.right("d2")
    member.on_heartbeat(late, cell.now_s)
    assert member.incarnation == 1001
    assert not cell.right("d2")
    cell.paused.clear()
    cell.run(0.6)
    assert cell.right("d2")
    assert not cell.lost("d1")


@pytest.mark.parametrize("way", ["out", "in"])
def test_a_one_way_partition_takes_the_right(way: str) -> None:
    cell = Cell(5)
    cell.run(1.0)
    for other in cell.ids:
        cell.cut.add(("d1", other) if way == "out" else (other, "d1"))
    cell.run(2.0)
    assert not cell.right("d1")
    assert all(cell.right(id) for id in cell.ids[1:])
    # Heard without the right, or not heard by a majority: either way it is passed over.
    heard_idle = cell.members[DaemonId("d2")].inactive(cell.now_s)
    assert "d1" in (cell.lost("d2") if way == "out" else heard_idle)


def test_one_bad_link_harms_nobody() -> None:
    cell = Cell(5)
    cell.run(1.0)
    cell.cut |= {("d1", "d2"), ("d2", "d1")}
    cell.run(3.0)
    assert all(cell.right(id) for id in cell.ids)
    assert not any(cell.lost(id) for id in cell.ids)


def test_a_slow_member_is_not_lost() -> None:
    cell = Cell(5)
    cell.run(1.0)
    for _ in range(5):
        cell.paused.add("d4")
        cell.run(0.6)
        assert not cell.lost("d1")
        cell.paused.clear()
        cell.run(0.4)


def test_half_of_the_members_cannot_act() -> None:
    cell = Cell(4)
    cell.run(1.0)
    cell.paused |= {"d3", "d4"}
    cell.run(2.0)
    assert not cell.right("d1")
    assert not cell.lost("d1")


def test_a_member_that_stalled_itself_blames_nobody() -> None:
    cell = Cell(3)
    cell.run(1.0)
    for id in cell.ids:
        cell.paused.add(id)
    cell.run(5.0)
    cell.paused.clear()
    cell.run(0.4)
    assert not any(cell.lost(id) for id in cell.ids)


def test_a_restarted_member_steps_over_its_earlier_incarnation() -> None:
    cell = Cell(3)
    cell.run(1.0)
    d2 = DaemonId("d2")
    cell.members[d2] = Membership(d2, "vuda", 7, cell.now_s)  # its wall clock went back
    cell.members[d2].set_members(cell.ids, 1, True, cell.now_s)
    cell.run(1.0)
    assert cell.members[d2].incarnation > 1000
    assert cell.right("d2")


def test_nobody_echoes_before_the_store_told_it_the_members() -> None:
    cell = Cell(3)
    for id in ("d2", "d3"):
        unsure = Membership(DaemonId(id), "vuda", 1, cell.now_s)
        unsure.set_members(cell.ids, 1, False, cell.now_s)
        cell.members[DaemonId(id)] = unsure
    cell.run(1.0)
    assert not cell.right("d1")


def test_a_daemon_that_a_member_change_left_behind_is_not_echoed() -> None:
    cell = Cell(5)
    cell.run(1.0)
    for id in cell.ids[1:]:
        cell.members[id].set_members(cell.ids[1:], 2, True, cell.now_s)
    cell.run(1.0)
    assert not cell.right("d1")
    assert cell.right("d2")


def test_reports_that_do_not_overlap_prove_nothing() -> None:
    cell = Cell(5)
    cell.run(1.0)
    # Each in turn stops hearing d1; at every instant a majority still does.
    for deaf in ("d3", "d4", "d5", "d3", "d4"):
        cell.cut = {("d1", deaf)}
        cell.run(1.2)
        assert cell.right("d1")
        assert not cell.lost("d2")
