"""The fault matrix: the real control plane with fakes at its interfaces, in virtual time."""

from __future__ import annotations

from collections import Counter
from statistics import median
from typing import TYPE_CHECKING

from fuchsiawell.bench.faults.matrix import TARGET_S, all_cells, run_cell
from fuchsiawell.bench.measurement import Measurement

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["run"]


def run() -> Iterator[Measurement]:
    """Run the whole matrix; yield counts of verdicts and the time out of service."""
    verdicts: Counter[str] = Counter()
    gaps: list[float] = []
    for cell in all_cells():
        outcome = run_cell(cell)
        verdicts[outcome.verdict(cell).partition(":")[0]] += 1
        if len(cell.faults) == 1 and cell.faults[0].is_bounded:
            gaps.append(outcome.checked_gap_s)
    total = sum(verdicts.values())
    for verdict, count in sorted(verdicts.items()):
        yield Measurement(f"faults/{verdict}/cells", count, "cells", total, total)
    for name, gap_s in (("median", median(gaps)), ("worst", max(gaps))):
        yield Measurement(f"faults/out_of_service/{name}", gap_s, "s", TARGET_S, len(gaps))
