"""Copy the pinned packages of a requirements file from this environment into one folder.

The program is packed from these copies, so it contains exactly the tested versions, and packing
needs no network.
"""

from __future__ import annotations

import shutil
import sys
from importlib.metadata import distribution
from pathlib import Path

# Start of a line that includes another requirements file.
INCLUDE_PREFIX = "-r "


def copy_packages(requirements: Path, target: Path) -> None:
    """Copy each package that `requirements` pins; exit if another version is installed."""
    for line in requirements.read_text().splitlines():
        if line.startswith(INCLUDE_PREFIX):
            copy_packages(requirements.parent / line.removeprefix(INCLUDE_PREFIX), target)
            continue
        name, _, version = line.partition("==")
        installed = distribution(name)
        if installed.version != version:
            raise SystemExit(f"{line} is pinned, but {installed.version} is installed")
        for file in installed.files or ():
            if ".." not in file.parts and "__pycache__" not in file.parts:
                destination = target / file
                destination.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy(file.locate(), destination)


if __name__ == "__main__":
    copy_packages(Path(sys.argv[1]), Path(sys.argv[2]))
