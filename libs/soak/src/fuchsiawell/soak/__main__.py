"""Run seeds of the soak and print a line for each: `make soak SEEDS="1 2 3"`."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

import defopt
import msgspec

from fuchsiawell.soak.daemons import PROGRAM
from fuchsiawell.soak.run import Size, soak

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
    """Run each seed in turn; the exit status is 1 if a promise was broken.

    :param seeds: seeds to run
    :param servers: backend servers
    :param daemons: daemons, each a process
    :param clients: clients
    :param faults: faults a seed
    :param mutant: file and name of a daemon that breaks a promise, "FILE NAME"
    :param logs: folder that keeps the daemons' logs, a temporary one if left out
    """
    program = PROGRAM if mutant is None else tuple(mutant.split())
    size = Size(servers, daemons, clients, faults, program=program)
    bad = 0
    for seed in seeds:
        folder = (logs or Path(tempfile.mkdtemp(prefix="soak-"))) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        verdict = asyncio.run(soak(seed, folder, size))
        bad += bool(verdict.broken)
        print(msgspec.json.encode({**asdict(verdict), "logs": str(folder)}).decode(), flush=True)
    print(f"{len(seeds) - bad} seeds kept every promise, {bad} broke one")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    defopt.run(main)
