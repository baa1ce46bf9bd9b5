"""Detect requests that crash the servers that execute them, so that their retries are refused."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["PoisonRequestDetector"]

# Incarnations a request may crash before it is refused. The requirements allow three
# crashes; two leave a margin for reports that have not arrived yet.
CRASHES_TO_REFUSE = 2
# Time without a further crash after which a suspected request is accepted again.
SUSPICION_S = 60.0
# The oldest are dropped beyond this; crashes are rare, so this covers hours.
MAX_SUSPECTS = 2000


@dataclass
class _Suspect:
    incarnation_ids: set[str] = field(default_factory=set)
    last_crash_s: float = 0.0


class PoisonRequestDetector:
    """Record, by request fingerprint, the server incarnations that crashed with it in flight.

    A suspected request that gets a response is cleared: a request that crashes its server never
    gets one.
    """

    def __init__(self) -> None:
        self._suspect_by_fingerprint: OrderedDict[int, _Suspect] = OrderedDict()

    @property
    def incarnations_by_fingerprint(self) -> dict[int, set[str]]:
        """The incarnation ids that crashed, by fingerprint of the suspected request."""
        return {
            fingerprint: suspect.incarnation_ids
            for fingerprint, suspect in self._suspect_by_fingerprint.items()
        }

    def record_crash(self, fingerprint: int, incarnation_id: str, now_s: float) -> None:
        """Record that a server incarnation crashed with this request in flight."""
        suspect = self._suspect_by_fingerprint.setdefault(fingerprint, _Suspect())
        self._suspect_by_fingerprint.move_to_end(fingerprint)
        suspect.incarnation_ids.add(incarnation_id)
        suspect.last_crash_s = now_s
        while len(self._suspect_by_fingerprint) > MAX_SUSPECTS:
            self._suspect_by_fingerprint.popitem(last=False)

    def clear(self, fingerprint: int) -> bool:
        """Clear a request that got a response; return whether it was suspected."""
        return self._suspect_by_fingerprint.pop(fingerprint, None) is not None

    def is_suspected(self, fingerprint: int, now_s: float) -> bool:
        """Return whether a server has crashed with the request in flight."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        return suspect is not None and now_s - suspect.last_crash_s <= SUSPICION_S

    def is_poison(self, fingerprint: int, now_s: float) -> bool:
        """Return whether the request is to be refused because it crashes servers."""
        if not self.is_suspected(fingerprint, now_s):
            return False
        return len(self._suspect_by_fingerprint[fingerprint].incarnation_ids) >= CRASHES_TO_REFUSE
