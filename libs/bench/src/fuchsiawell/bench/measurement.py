"""The one form in which every measurement of the project is reported."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass

__all__ = ["Measurement"]


@dataclass(frozen=True, slots=True)
class Measurement:
    """Hold one figure, the figure it is compared with, and the number of samples behind it."""

    measure: str  # parts joined by "/": what was varied first, the quantity last
    value: float
    unit: str
    baseline: float | None  # the same quantity without the change under test
    n: int  # runs, seeds or operations behind `value`

    def to_json(self) -> str:
        """Return the measurement as one line of JSON."""
        return json.dumps(asdict(self), separators=(",", ":"))
