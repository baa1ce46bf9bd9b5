"""Run every policy on every trace, and compare them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from statistics import fmean
from typing import TYPE_CHECKING

from fuchsiawell.bench.measurement import Measurement
from fuchsiawell.bench.policy.balanced import BalancedMoves
from fuchsiawell.bench.policy.cell import WINDOW_S, CellRun
from fuchsiawell.bench.policy.routing import (
    GreedyMoves,
    LeastConnections,
    LeastConnectionsFreeMoves,
    Router,
    StaticHashing,
)
from fuchsiawell.bench.policy.traces import DURATION_S, TRACES, arrivals

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fuchsiawell.bench.policy.cell import RunFigures
    from fuchsiawell.bench.policy.traces import Trace

__all__ = ["SEEDS", "compare_policies"]

SEEDS = (1, 2, 3)
BASELINES = (StaticHashing, GreedyMoves, LeastConnections)
IMBALANCE_TARGET = 1.15
CHURN_TARGET = 0.1  # of what greedy moves
COALESCED_TRACE = "pen-check"
COALESCED_NAME = "balanced-coalescing"
PER_HOUR = 3600 / DURATION_S


@dataclass(frozen=True, slots=True)
class _Quantity:
    name: str
    unit: str
    of: Callable[[RunFigures], float]


QUANTITIES = (
    _Quantity("imbalance", "busiest/mean", lambda f: f.imbalance()),
    _Quantity("churn_keys_per_h", "keys/h", lambda f: f.keys_moved * PER_HOUR),
    _Quantity("forced_churn_keys_per_h", "keys/h", lambda f: f.keys_moved_by_loss * PER_HOUR),
    _Quantity("unavailable_request_s", "request*s", lambda f: f.unavailable_s),
    _Quantity("goodput", "requests/s", lambda f: f.answered_in_time / DURATION_S),
    _Quantity("p99_ms", "ms", lambda f: f.p99_ms()),
)


def compare_policies(traces: tuple[Trace, ...] = TRACES) -> Iterator[Measurement]:
    """Yield each quantity by trace and policy, its spread, and which targets were met."""
    for trace in traces:
        yield from _compare_on(trace)


def _compare_on(trace: Trace) -> Iterator[Measurement]:
    bound = fmean(_hottest_key_bound(trace, seed) for seed in SEEDS)
    prefix = f"policy/{trace.name}"
    yield Measurement(f"{prefix}/hottest-key/bound", bound, "busiest/mean", None, len(SEEDS))
    runs_by_policy = _run_all(trace)
    means_by_policy = {
        policy: {q.name: fmean(map(q.of, runs)) for q in QUANTITIES}
        for policy, runs in runs_by_policy.items()
    }
    for policy, runs in runs_by_policy.items():
        for quantity in QUANTITIES:
            values = [quantity.of(run) for run in runs]
            name, n = f"{prefix}/{policy}/{quantity.name}", len(runs)
            baseline = _baseline(quantity.name, means_by_policy)
            yield Measurement(name, fmean(values), quantity.unit, baseline, n)
            spread = max(values) - min(values)
            yield Measurement(f"{name}/spread", spread, quantity.unit, None, n)
    yield from _targets(trace, bound, means_by_policy)


def _run_all(trace: Trace) -> dict[str, list[RunFigures]]:
    policies: tuple[type[Router], ...] = (*BASELINES, LeastConnectionsFreeMoves, BalancedMoves)
    runs: dict[str, list[RunFigures]] = {policy.name: [] for policy in policies}
    for seed in SEEDS:
        for policy in policies:
            runs[policy.name].append(CellRun(trace, policy(trace), seed).run())
        if trace.name == COALESCED_TRACE:
            run = CellRun(trace, BalancedMoves(trace), seed, coalesce=True)
            runs.setdefault(COALESCED_NAME, []).append(run.run())
    return runs


def _baseline(quantity: str, means_by_policy: dict[str, dict[str, float]]) -> float:
    """Return greedy's churn, the best baseline's unavailable time, else static hashing's figure."""
    if quantity == "churn_keys_per_h":
        return means_by_policy[GreedyMoves.name][quantity]
    if quantity == "unavailable_request_s":
        return min(means_by_policy[policy.name][quantity] for policy in BASELINES)
    return means_by_policy[StaticHashing.name][quantity]


def _targets(
    trace: Trace, bound: float, means_by_policy: dict[str, dict[str, float]]
) -> Iterator[Measurement]:
    ours = means_by_policy[BalancedMoves.name]
    limits = {
        "imbalance": max(IMBALANCE_TARGET, bound),
        "churn_keys_per_h": CHURN_TARGET * _baseline("churn_keys_per_h", means_by_policy),
        "unavailable_request_s": _baseline("unavailable_request_s", means_by_policy),
    }
    for name, limit in limits.items():
        measure = f"policy/{trace.name}/{BalancedMoves.name}/{name}/target_met"
        yield Measurement(measure, float(ours[name] <= limit), "1 if met", limit, len(SEEDS))


def _hottest_key_bound(trace: Trace, seed: int) -> float:
    """Return the imbalance that the hottest key alone causes, a mean over the same windows."""
    work_by_window: dict[int, Counter[int]] = {}
    for arrival in arrivals(trace, seed):
        window = work_by_window.setdefault(int(arrival.at_s / WINDOW_S), Counter())
        window[arrival.key] += arrival.service_s  # type: ignore[assignment]
    servers = trace.site.servers
    bounds = [
        max(1.0, max(work.values()) * servers / sum(work.values()))
        for window, work in work_by_window.items()
        if window > 0
    ]
    return fmean(bounds)
