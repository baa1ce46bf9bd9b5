"""Demo (`make demo`): run daemons, servers and clients with faults, and print the results."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

from fuchsiawell.soak.run import SoakOptions, soak

__all__ = ["main"]

SEED = 20
OPTIONS = SoakOptions(servers=12, daemons=5, clients=40, faults=10, fault_interval_s=1.0)


def main() -> int:
    """Run the demo; return 0 if no invariant was violated, else 1."""
    folder = Path(tempfile.mkdtemp(prefix="demo-"))
    print(
        f"{OPTIONS.servers} servers, {OPTIONS.daemons} daemons, {OPTIONS.clients} clients ...",
        flush=True,
    )
    verdict = asyncio.run(soak(SEED, folder, OPTIONS))
    print(f"faults, in order: {', '.join(verdict.faults)}")
    total = sum(verdict.statuses.values())
    for status, count in sorted(verdict.statuses.items()):
        name = str(status) if status else "no response"
        print(f"  {name:>18} {count:>7}  {100 * count / total:5.1f}%")
    for line in verdict.broken:
        print(f"VIOLATED: {line}")
    print(f"invariants violated: {len(verdict.broken)}")
    print(f"merged logs of all daemons: fuchsiawell timeline {folder}/*.log")
    return 1 if verdict.broken else 0


if __name__ == "__main__":
    sys.exit(main())
