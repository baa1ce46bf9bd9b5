"""The demo's result as text."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from fuchsiawell.standins.demo.attempts import Ending, count_by_phase, failing_time_s

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiawell.standins.demo.attempts import Attempt, Phase, Verdict

__all__ = ["failure_lines", "phase_table", "planned_stop_lines", "verdict_lines"]

SHOWN_FAILURES = 20
SHOWN_IDS = 8


def phase_table(attempts: Sequence[Attempt], phases: Sequence[Phase]) -> list[str]:
    """Return one line a phase: endings, and the time to its last failure."""
    counts_by_phase = count_by_phase(attempts, phases)
    width = max(len(phase.name) for phase in phases)
    head = " ".join(f"{ending:>8}" for ending in Ending)
    lines = [f"{'phase':<{width}} {head} {'last failure':>13}"]
    for phase in phases:
        counts = counts_by_phase[phase.name]
        cells = " ".join(f"{counts[ending]:>8}" for ending in Ending)
        failing_s = failing_time_s(attempts, phase)
        shown = f"{failing_s:.1f} s" if failing_s else "-"
        lines.append(f"{phase.name:<{width}} {cells} {shown:>13}")
    return lines


def failure_lines(attempts: Sequence[Attempt]) -> list[str]:
    """Return the most common failures by service, kind and cause."""
    causes = Counter(
        f"{attempt.service}/{attempt.kind} {attempt.ending}: {attempt.detail[:90]}"
        for attempt in attempts
        if attempt.ending is not Ending.ANSWERED
    )
    return [f"{count:>6} x {cause}" for cause, count in causes.most_common(SHOWN_FAILURES)]


def planned_stop_lines(attempts: Sequence[Attempt], phase: Phase) -> list[str]:
    """Return how many requests of a phase of planned stops were not answered."""
    counts = count_by_phase(attempts, [phase])[phase.name]
    failed = counts.total() - counts[Ending.ANSWERED]
    return [f"not answered meanwhile: {failed} of {counts.total()} (target 0)"]


def verdict_lines(verdict: Verdict) -> list[str]:
    """Return what must never happen, counted."""
    return [
        f"executions: {verdict.executions}; never-repeat ids sent: {verdict.never_repeat_ids}, "
        f"of which ran: {verdict.never_repeat_ran}",
        f"ran more than once: {len(verdict.duplicates)} {_some(verdict.duplicates)}",
        f'told "not run" but ran: {len(verdict.false_not_run)} {_some(verdict.false_not_run)}',
        f"answers of another request: {verdict.wrong_answers}",
        f"uploads answered as whole but broken: {verdict.broken_uploads}",
        "none of these four happened" if verdict.kept else "PROMISES BROKEN",
    ]


def _some(ids: Sequence[str]) -> str:
    return ", ".join(ids[:SHOWN_IDS])
