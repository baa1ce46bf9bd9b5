from __future__ import annotations

from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from fuchsiawell.bench.faults import world
from fuchsiawell.bench.faults.checker import Checker
from fuchsiawell.bench.faults.matrix import Cell, all_cells, run_cell
from fuchsiawell.bench.faults.report import row
from fuchsiawell.ownership import leadership, server_leadership
from fuchsiawell.standins.backend.grants import Grants

if TYPE_CHECKING:
    import pytest

PAGE = Path(__file__).parents[4] / "docs" / "FAULTS.md"
SAMPLE = 8  # cells run in each test run; `python -m fuchsiawell.bench.faults` runs all
CELLS_BY_NAME = {cell.name: cell for cell in all_cells()}


def test_the_page_has_a_row_for_every_cell_and_no_violation() -> None:
    text = PAGE.read_text()
    rows = [line for line in text.splitlines() if line.startswith("| ")]
    headings = sum(line.startswith(("| step", "| ---")) for line in rows)
    assert len(rows) - headings == len(all_cells())
    assert "VIOLATED" not in text
    assert "NOT SERVED" not in text
    assert "not reached" not in text


def test_a_sample_of_the_page_is_what_runs_give() -> None:
    rows = PAGE.read_text().splitlines()
    for cell in Random(11).sample(all_cells(), SAMPLE):
        assert row(cell, run_cell(cell)) in rows, cell.name


def _violations(name: str) -> tuple[str, ...]:
    return run_cell(CELLS_BY_NAME[name]).violations


def test_a_leader_without_a_right_to_lose_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(leadership.Leader, "_may_act", lambda *_: True)
    monkeypatch.setattr(Grants, "allows", lambda *_: True)
    assert _violations("move: asked / leader parted from daemons and store")


def test_a_shard_released_while_its_work_runs_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(world, "LONG_EVERY", 1)  # work of the shard runs all the time
    assert not _violations("move: asked / none")
    monkeypatch.setattr(server_leadership.ServerLeadership, "_may_release", lambda *_: True)
    assert _violations("move: asked / none")


def test_the_checker_tells_limits_from_violations() -> None:
    checker = Checker(unchecked=["r1", "r2"])
    checker.on_frozen("r1", True, 0.0)
    checker.on_start("k", 1, "r1", 0.0)
    checker.on_start("k", 2, "r2", 1.0)
    assert not checker.limits
    checker.on_frozen("r1", False, 2.0)
    assert checker.limits
    checker.on_start("k", 3, "p1", 3.0)
    assert checker.violations


def test_cells_are_generated_from_lists() -> None:
    assert len({cell.name for cell in all_cells()}) >= len(all_cells()) - 2  # a pair may recur
    assert all(isinstance(cell, Cell) for cell in all_cells())
