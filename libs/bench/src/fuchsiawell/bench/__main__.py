"""Print measurements: `python -m fuchsiawell.bench [all|policy|faults|once|path|...]`."""

from __future__ import annotations

import sys
from typing import Literal

import defopt

from fuchsiawell.bench.registry import SUITES, load_suite
from fuchsiawell.core import FuchsiawellError

__all__ = ["main"]

SuiteName = Literal[
    "all", "policy", "faults", "once", "path", "takeover", "capacity", "bodies", "silence"
]


def main(suite: SuiteName = "all") -> int:
    """Print each measurement as one JSON object a line.

    :param suite: the measurements to make; `all` makes those that exist and names the others.
    """
    names = SUITES if suite == "all" else (suite,)
    missing = [name for name in names if not _print_suite(name)]
    return 1 if missing else 0


def _print_suite(name: str) -> bool:
    try:
        suite = load_suite(name)
    except FuchsiawellError as error:
        print(error, file=sys.stderr)
        return False
    for measurement in suite.run():
        print(measurement.to_json(), flush=True)
    return True


if __name__ == "__main__":
    sys.exit(defopt.run(main, cli_options="kwonly"))
