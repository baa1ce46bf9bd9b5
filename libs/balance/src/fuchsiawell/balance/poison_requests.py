"""Recognise requests that crash the servers that run them, and refuse them when they come again."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["PoisonRequestDetector"]

# Crashes of different server lives after which a request is refused. Three crashes are allowed by
# the users' rules; two leaves room for reports that are still on their way.
CRASHES_TO_REFUSE = 2
# Seconds without a crash after which a request is believed again.
MEMORY_S = 60.0
# Requests remembered at most; crashes are rare, so this is hours of them.
REMEMBERED = 2000


@dataclass
class _Suspect:
    lives: set[str] = field(default_factory=set)
    seen_at: float = 0.0


class PoisonRequestDetector:
    """Count by fingerprint the server lives that crashed with a request in hand.

    A request that anyone got an answer for is cleared: what crashes a server never gets one.
    """

    def __init__(self) -> None:
        self._by_print: OrderedDict[int, _Suspect] = OrderedDict()

    @property
    def incarnations_by_fingerprint(self) -> dict[int, set[str]]:
        """The crashed server lives by fingerprint."""
        return {mark: suspect.lives for mark, suspect in self._by_print.items()}

    def record_crash(self, fingerprint: int, incarnation_id: str, now_s: float) -> None:
        """Note that a server life ended with this request in hand."""
        suspect = self._by_print.setdefault(fingerprint, _Suspect())
        self._by_print.move_to_end(fingerprint)
        suspect.lives.add(incarnation_id)
        suspect.seen_at = now_s
        while len(self._by_print) > REMEMBERED:
            self._by_print.popitem(last=False)

    def clear(self, fingerprint: int) -> bool:
        """Clear a request; returns whether it was under suspicion."""
        return self._by_print.pop(fingerprint, None) is not None

    def is_poison(self, fingerprint: int, now_s: float) -> bool:
        """Whether the request is known to crash servers."""
        suspect = self._by_print.get(fingerprint)
        if suspect is None or now_s - suspect.seen_at > MEMORY_S:
            return False
        return len(suspect.lives) >= CRASHES_TO_REFUSE
