"""Pauses between attempts, and how many more attempts there may be."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

__all__ = ["Backoff", "BackoffSettings", "RetryBudget"]


@dataclass(frozen=True, slots=True)
class BackoffSettings:
    """Bound the pauses: each is drawn between half and all of a span that doubles."""

    first_s: float = 0.05
    longest_s: float = 2.0


class Backoff:
    """Draw growing pauses, so that clients that failed together do not return together."""

    def __init__(self, random: Random, settings: BackoffSettings | None = None) -> None:
        self._random = random
        self._settings = settings or BackoffSettings()
        self._span_s = self._settings.first_s

    def next_s(self) -> float:
        """Return the pause before the next attempt."""
        span_s = self._span_s
        self._span_s = min(self._settings.longest_s, span_s * 2)
        return self._random.uniform(span_s / 2, span_s)

    def reset(self) -> None:
        """Start over after a success."""
        self._span_s = self._settings.first_s


class RetryBudget:
    """Allow retries as a share of recent calls, so that an outage brings no storm of them."""

    def __init__(self, share: float = 0.1, reserve: float = 3.0) -> None:
        """Allow `share` retries a call and never save up more than `reserve` of them."""
        self._share = share
        self._reserve = reserve
        self._saved = reserve

    def note_call(self) -> None:
        """Count a first attempt."""
        self._saved = min(self._reserve, self._saved + self._share)

    def take(self) -> bool:
        """Use up one retry; `False` if there is none left."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
