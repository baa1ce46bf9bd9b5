"""Faults of the key-value service as its admin endpoint reads them."""

from __future__ import annotations

from enum import StrEnum, unique

from pydantic import BaseModel, ConfigDict

from fuchsiawell.platform import CallKind
from fuchsiawell.standins.faults import (
    DropWatch,
    Fault,
    Hang,
    LapseLeases,
    LoseAnswer,
    LoseRequest,
    NoFault,
    Refuse,
    Slow,
)

__all__ = ["FaultModel", "FaultName"]


@unique
class FaultName(StrEnum):
    """Name a fault."""

    NONE = "none"
    REFUSE = "refuse"
    LOSE_REQUEST = "lose-request"
    LOSE_ANSWER = "lose-answer"
    SLOW = "slow"
    HANG = "hang"
    HANG_AFTER_EFFECT = "hang-after-effect"
    LAPSE_LEASES = "lapse-leases"
    DROP_WATCH = "drop-watch"


class FaultModel(BaseModel):
    """Choose a fault, the calls it strikes (all by default) and its time."""

    model_config = ConfigDict(extra="forbid")

    fault: FaultName
    kinds: list[CallKind] | None = None
    delay_s: float = 1.0

    def to_fault(self) -> Fault:
        """Return the fault as the plan gives it."""
        match self.fault:
            case FaultName.NONE:
                return NoFault()
            case FaultName.REFUSE:
                return Refuse()
            case FaultName.LOSE_REQUEST:
                return LoseRequest()
            case FaultName.LOSE_ANSWER:
                return LoseAnswer()
            case FaultName.SLOW:
                return Slow(self.delay_s)
            case FaultName.HANG:
                return Hang(self.delay_s)
            case FaultName.HANG_AFTER_EFFECT:
                return Hang(self.delay_s, takes_effect=True)
            case FaultName.LAPSE_LEASES:
                return LapseLeases()
            case FaultName.DROP_WATCH:
                return DropWatch()
