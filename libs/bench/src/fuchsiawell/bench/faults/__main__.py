"""Print docs/FAULTS.md: `python -m fuchsiawell.bench.faults`."""

from __future__ import annotations

import sys

from fuchsiawell.bench.faults.matrix import all_cells, run_cell
from fuchsiawell.bench.faults.report import page

if __name__ == "__main__":
    sys.stdout.write(page((cell, run_cell(cell)) for cell in all_cells()))
