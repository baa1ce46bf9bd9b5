"""What the operator's answers say matters most, as the balancer's settings."""

from __future__ import annotations

from dataclasses import dataclass

from fuchsiawell.config.configuration import Goal

__all__ = ["IMBALANCE_FIRST", "UNAVAILABLE_FIRST", "BalanceWeights", "weights_for"]


@dataclass(frozen=True, slots=True)
class BalanceWeights:
    """Set how readily load is moved. Imbalance is the busiest server's load over the mean."""

    trigger: float  # imbalance at which moving starts
    settled: float  # imbalance at which it stops again
    sustain_s: float  # for which the trigger must hold
    key_cost: float  # imbalance that moving one key must win at least
    shard_cost: float  # the same for a whole shard of keys
    key_moves_per_min: float
    shard_moves_per_min: float


IMBALANCE_FIRST = BalanceWeights(
    trigger=1.08,
    settled=1.02,
    sustain_s=2.0,
    key_cost=0.004,
    shard_cost=0.04,
    key_moves_per_min=120.0,
    shard_moves_per_min=16.0,
)
UNAVAILABLE_FIRST = BalanceWeights(
    trigger=1.08,
    settled=1.02,
    sustain_s=2.0,
    key_cost=0.006,
    shard_cost=0.05,
    key_moves_per_min=120.0,
    shard_moves_per_min=16.0,
)


def weights_for(goal: Goal) -> BalanceWeights:
    """Return the settings for the goal that a service's operators named."""
    match goal:
        case Goal.IMBALANCE:
            return IMBALANCE_FIRST
        case Goal.UNAVAILABLE_TIME:
            return UNAVAILABLE_FIRST
