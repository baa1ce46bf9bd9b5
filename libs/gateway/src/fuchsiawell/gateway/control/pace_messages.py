"""Datagrams with latency factors of servers, and the checks of their rows."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "GroupPaceReport",
    "PaceMessage",
    "PaceReport",
    "PaceRows",
    "TotalPaceReport",
    "decode_pace_rows",
]

# Factor in percent and number of samples, by short id of the server.
PaceRows = dict[int, tuple[int, int]]
MAX_SHORT_ID = 2**32 - 1
# Larger figures are malformed.
MAX_PERCENT = MAX_SAMPLES = 1_000_000


@dataclass(frozen=True)
class PaceReport:
    """Samples of the sender since its last report; to its hub, or to all daemons without groups."""

    rows: PaceRows


@dataclass(frozen=True)
class GroupPaceReport:
    """Mean factors of the sender's group; from hub to hub."""

    rows: PaceRows


@dataclass(frozen=True)
class TotalPaceReport:
    """Mean factors of all daemons; from a hub to its followers."""

    rows: PaceRows


PaceMessage = PaceReport | GroupPaceReport | TotalPaceReport


def decode_pace_rows(value: object) -> PaceRows:
    """Return checked rows; raises ValueError."""
    if not isinstance(value, dict):
        raise ValueError(f"{value!r} are no paces")
    return {_number(k, 0, MAX_SHORT_ID): _pace(row) for k, row in value.items()}


def _pace(row: object) -> tuple[int, int]:
    match row:
        case [percent, samples]:
            return _number(percent, 1, MAX_PERCENT), _number(samples, 1, MAX_SAMPLES)
    raise ValueError(f"pace {row!r} is malformed")


def _number(value: object, minimum: int, maximum: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
        raise ValueError(f"{value!r} is no number in range")
    return value
