"""Draw the committed figures: `... policy.plots FIGURES OUT_DIR`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import defopt
import matplotlib as mpl
from matplotlib.figure import Figure

from fuchsiawell.bench.measurement import Measurement
from fuchsiawell.bench.policy.admission_comparison import run_rules
from fuchsiawell.bench.policy.overload import DURATION_S, TRIGGER_S, TRIGGERS, WINDOW_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiawell.bench.policy.overload import OverloadFigures

__all__ = ["main", "read_means"]

POLICIES = ("static-hashing", "greedy-moves", "least-connections", "balanced")
SCALES = {
    "imbalance": "linear",
    "churn_keys_per_h": "symlog",
    "unavailable_request_s": "symlog",
    "p99_ms": "linear",
}
BAR_WIDTH = 0.2
HASH_SALT = "fuchsiawell"  # the same drawing gives the same bytes


def main(figures: Path, out_dir: Path) -> None:
    """Draw one picture for each quantity, and one for each overload.

    :param figures: what `python -m fuchsiawell.bench policy` printed
    :param out_dir: where the SVG files go
    """
    mpl.rcParams["svg.hashsalt"] = HASH_SALT
    with Path(figures).open() as lines:
        means = read_means(lines)
    for quantity in SCALES:
        name = f"policy-{quantity.split('_')[0]}.svg"
        _save(_draw_quantity(quantity, means), Path(out_dir) / name)
    for trigger in TRIGGERS:
        runs = {rule: found[0] for rule, found in run_rules(trigger, seeds=(1,)).items()}
        _save(_draw_recovery(trigger.name, runs), Path(out_dir) / f"overload-{trigger.name}.svg")


def read_means(lines: Iterable[str]) -> dict[tuple[str, str, str], float]:
    """Return the values by trace, policy and quantity; spreads and verdicts are left out."""
    means = {}
    for line in lines:
        found = Measurement(**json.loads(line))
        suite, *parts = found.measure.split("/")
        if suite == "policy" and len(parts) == 3:
            means[parts[0], parts[1], parts[2]] = found.value
    return means


def _draw_quantity(quantity: str, means: dict[tuple[str, str, str], float]) -> Figure:
    traces = list(dict.fromkeys(trace for trace, _, _ in means))
    figure, axes = _axes()
    for number, policy in enumerate(POLICIES):
        places = [index + (number - 1.5) * BAR_WIDTH for index in range(len(traces))]
        heights = [means.get((trace, policy, quantity), 0.0) for trace in traces]
        axes.bar(places, heights, BAR_WIDTH, label=policy)
    axes.set_xticks(range(len(traces)), traces, rotation=20)
    axes.set_yscale(SCALES[quantity])
    axes.set_ylabel(quantity)
    axes.legend()
    return figure


def _draw_recovery(trigger: str, runs: dict[str, OverloadFigures]) -> Figure:
    figure, axes = _axes()
    windows = range(int(DURATION_S / WINDOW_S))
    for rule, run in runs.items():
        shares = [run.first_try_share(window) for window in windows]
        axes.plot([window * WINDOW_S for window in windows], shares, label=rule)
    axes.axvspan(*TRIGGER_S, alpha=0.2, label=trigger)
    axes.set_xlabel("s")
    axes.set_ylabel("callers answered in time at the first attempt")
    axes.legend()
    return figure


def _axes() -> tuple[Figure, Any]:
    figure = Figure(figsize=(9, 4.5), layout="tight")
    return figure, figure.add_subplot()


def _save(figure: Figure, path: Path) -> None:
    figure.savefig(path, format="svg", metadata={"Date": None})


if __name__ == "__main__":
    sys.exit(defopt.run(main))
