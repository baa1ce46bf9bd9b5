"""What every part of a daemon is handed at its start."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from fuchsiawell.config import Settings
    from fuchsiawell.core import Clock, EventLog, IdSource, LamportClock

__all__ = ["Context"]


@dataclass(frozen=True, slots=True)
class Context:
    """Hold the settings and the sources of time, order, chance and identity."""

    settings: Settings
    clock: Clock
    lamport: LamportClock
    log: EventLog
    ids: IdSource
    random: Random
