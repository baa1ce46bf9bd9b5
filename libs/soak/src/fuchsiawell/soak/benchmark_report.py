"""Compare the figures of a benchmark with those of another checkout and of the baseline."""

from __future__ import annotations

import json
import sys
from pathlib import Path  # noqa: TC003 - defopt reads the annotations at run time

import defopt

__all__ = ["best", "main", "table"]

# Figures of which more is better.
RATES = ("requests_per_s",)


def best(lines: list[str]) -> dict[str, float]:
    """Return the best of each figure over several runs, one JSON object a line.

    Other work on the machine only adds to times, so the best run is the least disturbed.
    """
    runs = [json.loads(line) for line in lines if line.strip()]
    if not runs:
        raise ValueError("no figures: a run of the benchmark has failed")
    return {name: (max if name in RATES else min)(run[name] for run in runs) for name in runs[0]}


def table(measured: dict[str, float], others: dict[str, dict[str, float]]) -> str:
    """Return the figures beside others, with the ratio to each of them."""
    names = ["figure", "measured", *(title for other in others for title in (other, "ratio"))]
    rows = [names, ["---"] * len(names)]
    for name, value in measured.items():
        row = [name, f"{value:.3f}"]
        for figures in others.values():
            other = figures.get(name)
            row.append("-" if other is None else f"{other:.3f}")
            row.append(f"{value / other:.3f}" if other else "-")
        rows.append(row)
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)


def main(runs: Path, baseline: Path, *, base: Path | None = None, write: bool = False) -> None:
    """Print the best figures of the runs in a file beside those of others.

    :param runs: file with the figures of the measured checkout, one run a line
    :param baseline: committed figures, of another machine perhaps
    :param base: file with the figures of another checkout, measured in turn with the first
    :param write: replace the baseline by the measured figures
    """
    measured = best(runs.read_text().splitlines())
    others = {} if base is None else {"other checkout": best(base.read_text().splitlines())}
    if baseline.exists():
        others["baseline"] = json.loads(baseline.read_text())
    print(table(measured, others))
    if write:
        rounded = {name: round(value, 3) for name, value in measured.items()}
        baseline.write_text(json.dumps(rounded, indent=2) + "\n")


if __name__ == "__main__":
    sys.exit(defopt.run(main))
