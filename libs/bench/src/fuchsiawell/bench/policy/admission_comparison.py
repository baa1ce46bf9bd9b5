"""Compare admission rules while an overload comes and goes."""

from __future__ import annotations

from random import Random
from statistics import fmean
from typing import TYPE_CHECKING

from fuchsiawell.bench.measurement import Measurement
from fuchsiawell.bench.policy.admission_rules import DeadlineQueue, LoadManager, NoControl
from fuchsiawell.bench.policy.overload import MU_MAX, SERVICE_S, SLOTS, TRIGGERS, OverloadRun

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiawell.bench.policy.admission_rules import AdmissionRule
    from fuchsiawell.bench.policy.overload import OverloadFigures, Trigger

__all__ = ["compare_admission", "rules", "run_rules"]

SEEDS = (1, 2, 3, 4, 5)
INTERVALS_S = (1.0, 0.1)  # of the load manager: the paper's, and a quicker one


def rules(seed: int) -> tuple[AdmissionRule, ...]:
    """Return a fresh rule of each sort, that without control first."""
    managers = (LoadManager(SLOTS, MU_MAX, every_s, Random(seed)) for every_s in INTERVALS_S)
    return (NoControl(SLOTS), *managers, DeadlineQueue(SLOTS, SERVICE_S))


def run_rules(trigger: Trigger, seeds: tuple[int, ...] = SEEDS) -> dict[str, list[OverloadFigures]]:
    """Return the figures of each rule under each seed; equal seeds give equal callers."""
    runs: dict[str, list[OverloadFigures]] = {}
    for seed in seeds:
        for rule in rules(seed):
            runs.setdefault(rule.name, []).append(OverloadRun(trigger, rule, seed).run())
    return runs


def compare_admission() -> Iterator[Measurement]:
    """Yield recovery time, goodput, wasted runs and p99 by trigger and rule."""
    for trigger in TRIGGERS:
        runs_by_rule = run_rules(trigger)
        without = runs_by_rule[NoControl.name]
        for rule, runs in runs_by_rule.items():
            yield from _measurements(f"admission/{trigger.name}/{rule}", runs, without)


def _measurements(
    prefix: str, runs: list[OverloadFigures], without: list[OverloadFigures]
) -> Iterator[Measurement]:
    quantities = {
        "recovery_s": ("s", [run.recovery_s() for run in runs], [r.recovery_s() for r in without]),
        "goodput": ("callers/s", [run.goodput() for run in runs], [r.goodput() for r in without]),
        "p99_ms": ("ms", [run.p99_ms() for run in runs], [r.p99_ms() for r in without]),
        "wasted_runs": (
            "runs",
            [float(run.wasted_runs) for run in runs],
            [float(r.wasted_runs) for r in without],
        ),
    }
    for name, (unit, values, baseline) in quantities.items():
        measure, n = f"{prefix}/{name}", len(values)
        yield Measurement(measure, fmean(values), unit, fmean(baseline), n)
        yield Measurement(f"{measure}/spread", max(values) - min(values), unit, None, n)
