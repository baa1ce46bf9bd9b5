"""Never-repeat requests: what they cost, and what must never happen to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.bench.measurement import Measurement
from fuchsiawell.bench.once.chaos import ChaosResult, ChaosSettings, run_chaos
from fuchsiawell.bench.once.costs import measure_costs
from fuchsiawell.bench.once.losses import measure_losses
from fuchsiawell.bench.once.poison import run_poison

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["run"]

REQUESTS = 25_000  # a run; four runs
SEEDS = (1, 2, 3, 4)
POISON_SEEDS = range(20)


def run() -> Iterator[Measurement]:
    """Measure costs, then losses, then crash suspects, then the long run with faults."""
    yield from measure_costs()
    yield from measure_losses()
    yield from _poison()
    yield from _chaos()


def _poison() -> Iterator[Measurement]:
    for name, with_daemon, other_losses in (
        ("alone", False, False),
        ("with_daemon", True, False),
        ("among_other_losses", False, True),
    ):
        results = [
            run_poison(seed, with_daemon=with_daemon, other_losses=other_losses)
            for seed in POISON_SEEDS
        ]
        lost = max(result.servers_lost for result in results)
        refused = sum(result.innocents_refused for result in results)
        asked = refused + sum(result.innocents_answered for result in results)
        yield Measurement(f"poison_servers_lost/{name}", lost, "servers", 2.0, len(results))
        yield Measurement(f"innocents_refused/{name}", refused, "requests", 0.0, asked)


def _chaos() -> Iterator[Measurement]:
    results = [run_chaos(ChaosSettings(REQUESTS, seed)) for seed in SEEDS]
    requests = sum(result.requests for result in results)
    faults = sum(result.faults.total() for result in results)
    yield _count("duplicates", sum(r.duplicates for r in results), requests)
    yield _count("false_not_run", sum(r.false_not_run for r in results), requests)
    yield _count("wrong_answers", sum(r.wrong_answers for r in results), requests)
    yield _count("faults_injected", faults, requests)
    for kind in ("free-form", "minted"):
        yield _told(results, kind, "Unknown")
        yield _told(results, kind, "NotRun")


def _count(name: str, value: int, requests: int) -> Measurement:
    return Measurement(f"long_run/{name}", value, "count", 0.0, requests)


def _told(results: list[ChaosResult], kind: str, outcome: str) -> Measurement:
    told = sum(result.told[f"{kind} {outcome}"] for result in results)
    outcomes = ("Answered", "Unknown", "NotRun")
    everything = sum(result.told[f"{kind} {name}"] for result in results for name in outcomes)
    measure = f"long_run/{kind}/{outcome.lower()}_share"
    return Measurement(measure, told / everything, "share", 0.0, everything)
