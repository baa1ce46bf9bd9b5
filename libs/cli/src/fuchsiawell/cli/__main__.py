"""Run the command line with `python -m fuchsiawell.cli`."""

from __future__ import annotations

import sys

from fuchsiawell.cli.run import main

if __name__ == "__main__":
    sys.exit(main())
