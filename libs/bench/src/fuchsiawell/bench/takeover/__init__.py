"""What losses cost in time, and what the control plane costs at rest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.bench.takeover.losses import measure_losses
from fuchsiawell.bench.takeover.rest import measure_rest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiawell.bench.measurement import Measurement

__all__ = ["run"]


def run() -> Iterator[Measurement]:
    """Yield time out of service after losses, store writes, and the cost of control at rest."""
    yield from measure_losses()
    yield from measure_rest()
