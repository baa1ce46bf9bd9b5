"""Limits that operators set on second attempts (request hedging)."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["MAX_EXTRA_WORK_LIMIT", "SecondAttemptRules"]

# Largest share that may be set: above it, second attempts cost more than they can save.
MAX_EXTRA_WORK_LIMIT = 0.5


@dataclass(frozen=True)
class SecondAttemptRules:
    """Work that second attempts may add, as a share of the work of a service; 0: none are sent."""

    max_extra_work: float = 0.0
    # Shares of single services, by name, in place of `max_extra_work`.
    by_service: Mapping[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        _check("max_extra_work", self.max_extra_work)
        for service, share in self.by_service.items():
            _check(f"by_service.{service}", share)

    @property
    def enabled(self) -> bool:
        """Return whether any service may get second attempts."""
        return self.max_extra_work > 0.0 or any(share > 0.0 for share in self.by_service.values())

    def max_extra_work_of(self, service: str) -> float:
        """Return the share that applies to a service."""
        return self.by_service.get(service, self.max_extra_work)


def _check(name: str, share: float) -> None:
    if not 0.0 <= share <= MAX_EXTRA_WORK_LIMIT:
        raise ValueError(
            f"second_attempts.{name}: {share:g} is not between 0 and {MAX_EXTRA_WORK_LIMIT:g}"
        )
