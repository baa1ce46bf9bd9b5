"""Run the soak for each seed and print one line per seed: `make soak SEEDS="1 2 3"`."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

import defopt
import msgspec

from fuchsiawell.soak.daemons import PROGRAM
from fuchsiawell.soak.run import SoakOptions, soak

__all__ = ["main"]


def main(
    *seeds: int,
    servers: int = 5,
    daemons: int = 3,
    clients: int = 12,
    faults: int = 14,
    mutant: str | None = None,
    logs: Path | None = None,
) -> None:
    """Run each seed in turn; the exit status is 1 if an invariant was violated.

    :param seeds: seeds to run
    :param servers: backend servers
    :param daemons: daemons, one process each
    :param clients: clients
    :param faults: faults per seed
    :param mutant: daemon that violates an invariant, as "FILE NAME", instead of the real one
    :param logs: folder for the logs of the daemons; a temporary folder if omitted
    """
    program = PROGRAM if mutant is None else tuple(mutant.split())
    options = SoakOptions(servers, daemons, clients, faults, program=program)
    failed_seeds = 0
    for seed in seeds:
        folder = (logs or Path(tempfile.mkdtemp(prefix="soak-"))) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        verdict = asyncio.run(soak(seed, folder, options))
        failed_seeds += bool(verdict.broken)
        print(msgspec.json.encode({**asdict(verdict), "logs": str(folder)}).decode(), flush=True)
    print(f"{len(seeds) - failed_seeds} seeds without violations, {failed_seeds} with violations")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    defopt.run(main)
