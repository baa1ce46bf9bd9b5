"""The page docs/FAULTS.md, written from a run of the matrix."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.bench.faults.injection import FAULTS
from fuchsiawell.bench.faults.matrix import PAIRS, SEED, TARGET_S, Cell, Outcome
from fuchsiawell.bench.faults.procedures import PROCEDURES

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["page", "row"]

INTRODUCTION = """# Faults

Written by `python -m fuchsiawell.bench.faults`; a test compares rows of it with new runs.

Each row is one run of the daemons' real control plane (membership, controller, leadership, record
distribution) in virtual time, with fakes for links, store, host list and backend servers: five
daemons in three zones, four servers that check fences and three that do not, two callers for each
of eight keys that ask all the time, one request in seven long. A fault begins when the step is
first reached, and ends by itself where it says so. After every event these are checked:

- work of a key runs at one server at most, and none starts under an epoch that is over;
- epochs and terms only go up, and neither owner nor leader changes within one;
- a leaving server gets no new work after 3.5 s;
- at the end, what every daemon holds was made, and every key is served.

*Answered*, *not run* and *unknown* count what the callers saw. *Out of service* is the longest time
in which any key had no answer, for servers that check fences and for those that do not; 0.6 s is
the time of one long request. A fault that needs no return of the store is to be over within
{target:.0f} s for servers that check; *holds, late* marks those that are not. Servers that do not
check are bounded by the longest deadline (1 s here). *Limit of unchecked servers*: a server that
was frozen runs requests that sat in its buffers when it returns, beside the new owner. *No majority
left*: the two faults together left two daemons of five, and the cell waits for others.

What the runs leave out: real sockets and processes, the steps of never-repeat requests, more than
two faults at once.
"""
HEADER = """
| step | fault | answered | not run | unknown | out of service, s | verdict |
| --- | --- | --- | --- | --- | --- | --- |"""


def page(results: Iterable[tuple[Cell, Outcome]]) -> str:
    """Return the whole page."""
    found = list(results)
    lines = [INTRODUCTION.format(target=TARGET_S), _summary(found)]
    for procedure in PROCEDURES:
        lines += [f"\n## {procedure.name.capitalize()}", HEADER]
        lines += [
            row(cell, outcome)
            for cell, outcome in found
            if cell.procedure is procedure and len(cell.faults) == 1
        ]
    lines += ["\n## Pairs of faults", f"\n{PAIRS} pairs, drawn with seed {SEED}, 0.3 s apart."]
    lines.append(HEADER)
    lines += [row(cell, outcome) for cell, outcome in found if len(cell.faults) > 1]
    return "\n".join(lines) + "\n"


def row(cell: Cell, outcome: Outcome) -> str:
    """Return one row of a table."""
    faults = " + ".join(fault.name for fault in cell.faults)
    step = cell.step if len(cell.faults) == 1 else f"{cell.procedure.name}: {cell.step}"
    gaps = f"{outcome.checked_gap_s:.1f} / {outcome.unchecked_gap_s:.1f}"
    counts = f"{outcome.answered} | {outcome.not_run} | {outcome.unknown}"
    return f"| {step} | {faults} | {counts} | {gaps} | {outcome.verdict(cell)} |"


def _summary(found: list[tuple[Cell, Outcome]]) -> str:
    counts: dict[str, int] = {}
    for cell, outcome in found:
        verdict = outcome.verdict(cell).partition(":")[0]
        counts[verdict] = counts.get(verdict, 0) + 1
    parts = ", ".join(f"{count} {verdict}" for verdict, count in sorted(counts.items()))
    steps = sum(len(procedure.steps) for procedure in PROCEDURES)
    return f"{len(found)} runs, {len(FAULTS)} faults at {steps} steps and pairs: {parts}."
