"""Print the policy figures as the tables of docs/POLICY.md: `... policy.table FIGURES`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import defopt

from fuchsiawell.bench.measurement import Measurement

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["main"]

COLUMNS = {
    "policy": (
        "imbalance",
        "churn_keys_per_h",
        "forced_churn_keys_per_h",
        "unavailable_request_s",
        "goodput",
        "p99_ms",
    ),
    "admission": ("recovery_s", "goodput", "wasted_runs", "p99_ms"),
}
DIGITS = {"imbalance": 3, "goodput": 1, "unavailable_request_s": 1, "recovery_s": 0}


def main(figures: Path) -> None:
    """Print one table for the admission rules and one for the policies.

    :param figures: what `python -m fuchsiawell.bench policy` printed
    """
    with Path(figures).open() as lines:
        found = [Measurement(**json.loads(line)) for line in lines]
    values = {measurement.measure: measurement.value for measurement in found}
    for suite, columns in COLUMNS.items():
        print("\n".join(_table(suite, columns, values)) + "\n")


def _table(suite: str, columns: tuple[str, ...], values: dict[str, float]) -> Iterator[str]:
    yield "| " + " | ".join(("case", "rule", *columns)) + " |"
    yield "| --- | --- |" + " ---: |" * len(columns)
    rows = dict.fromkeys(tuple(measure.split("/")[1:3]) for measure in values if suite in measure)
    for case, rule in rows:
        prefix = f"{suite}/{case}/{rule}"
        if f"{prefix}/{columns[0]}" in values:
            cells = [_cell(f"{prefix}/{column}", column, values) for column in columns]
            yield "| " + " | ".join((case, rule, *cells)) + " |"


def _cell(measure: str, column: str, values: dict[str, float]) -> str:
    digits = DIGITS.get(column, 0)
    spread = values.get(f"{measure}/spread", 0.0)
    return f"{values[measure]:.{digits}f} ±{spread / 2:.{digits}f}"


if __name__ == "__main__":
    sys.exit(defopt.run(main))
