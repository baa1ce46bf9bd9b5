"""Look up the measurements by name, without importing those that are not asked for."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Protocol, cast

from fuchsiawell.core import FuchsiawellError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiawell.bench.measurement import Measurement

__all__ = ["SUITES", "Suite", "load_suite"]

SUITES = ("policy", "faults", "once", "path", "takeover", "capacity", "bodies", "silence")


class Suite(Protocol):
    """What a measurement package has at its top: one function that measures."""

    def run(self) -> Iterable[Measurement]:
        """Measure, and yield each figure as soon as it is known."""


def load_suite(name: str) -> Suite:
    """Return the package `fuchsiawell.bench.<name>`; an error names it while it is absent."""
    module_name = f"fuchsiawell.bench.{name}"
    try:
        module = importlib.import_module(module_name)
    except ModuleNotFoundError as error:
        if error.name != module_name:
            raise
        raise FuchsiawellError("bench", name, f"there is no package {module_name} yet") from error
    return cast("Suite", module)
