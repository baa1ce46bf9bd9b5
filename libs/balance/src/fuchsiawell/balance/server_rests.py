"""Rests that backend servers ask this daemon for: they want nothing from it for some time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["MAX_REST_S", "ServerRests"]

# A longer rest counts as one of this length: an invalid value must not keep requests from a server
# for good. After it the server gets one request, and may name the next rest.
MAX_REST_S = 3600.0
# The first request after a rest holds off others for at most this long, as it may hang.
MAX_TRIAL_S = 1.0


@dataclass
class _Rest:
    backend_id: str
    until_s: float
    trial_started_s: float | None = None
    # When each rest was named and when it ends, without those that a later one outlasts.
    named: list[tuple[float, float]] = field(default_factory=list)


class ServerRests:
    """The rests known to this daemon, by server incarnation.

    After a rest a server gets one request at a time until one of them is answered, so that a
    server that still turns requests away names its next rest after a single one.
    """

    def __init__(self) -> None:
        self._by_incarnation: dict[str, _Rest] = {}

    def __len__(self) -> int:
        """Return the number of servers that rest, or have not answered a request since."""
        return len(self._by_incarnation)

    def named_count(self, incarnation_id: str) -> int:
        """Return how many rests of a server are kept."""
        rest = self._by_incarnation.get(incarnation_id)
        return 0 if rest is None else len(rest.named)

    def record_named(
        self, backend_id: str, incarnation_id: str, rest_s: float, now_s: float
    ) -> float:
        """Record a rest; return by how much it moves the end of the rest into the future.

        Each rest holds to its own end, whatever the server says later.
        """
        if rest_s <= 0.0:
            return 0.0
        until_s = now_s + min(rest_s, MAX_REST_S)
        rest = self._by_incarnation.setdefault(incarnation_id, _Rest(backend_id, now_s))
        extended_s = until_s - max(now_s, rest.until_s)
        rest.until_s = max(rest.until_s, until_s)
        rest.named = [(at_s, end_s) for at_s, end_s in rest.named if end_s > until_s]
        rest.named.append((now_s, until_s))
        return max(0.0, extended_s)

    def remaining_s(self, incarnation_id: str, now_s: float) -> float:
        """Return how long a server still wants nothing, 0.0 if it does not rest."""
        rest = self._by_incarnation.get(incarnation_id)
        return 0.0 if rest is None else max(0.0, rest.until_s - now_s)

    def free_capacity(self, incarnation_id: str, now_s: float, free_slots: int) -> int:
        """Return how many of the free slots of a server may get requests now."""
        rest = self._by_incarnation.get(incarnation_id)
        if rest is None:
            return free_slots
        if now_s < rest.until_s or (
            rest.trial_started_s is not None and now_s < rest.trial_started_s + MAX_TRIAL_S
        ):
            return 0
        return min(1, free_slots)

    def admits(self, incarnation_id: str, now_s: float) -> bool:
        """Return whether a server may get a request now."""
        return self.free_capacity(incarnation_id, now_s, 1) > 0

    def start(self, incarnation_id: str, now_s: float) -> bool:
        """Record that a request is sent; return whether it is a trial, which must be finished."""
        rest = self._by_incarnation.get(incarnation_id)
        if rest is None:
            return False
        rest.trial_started_s = now_s
        return True

    def finish_trial(self, incarnation_id: str) -> None:
        """Record that a trial has ended, however it did."""
        rest = self._by_incarnation.get(incarnation_id)
        if rest is not None:
            rest.trial_started_s = None

    def record_answered(self, incarnation_id: str, now_s: float) -> None:
        """Record that a trial was answered: the server takes requests again."""
        rest = self._by_incarnation.get(incarnation_id)
        if rest is not None and now_s >= rest.until_s:
            del self._by_incarnation[incarnation_id]

    def retain(self, incarnation_ids: Collection[str], now_s: float) -> None:
        """Discard other incarnations; a rest that still runs stays, as an entry may come back."""
        self._by_incarnation = {
            incarnation_id: rest
            for incarnation_id, rest in self._by_incarnation.items()
            if incarnation_id in incarnation_ids or now_s < rest.until_s
        }

    def restart(self, backend_id: str, incarnation_id: str, since_s: float, now_s: float) -> None:
        """Discard the rests of a server that has restarted, except those named since `since_s`.

        The new incarnation may have named these before its entry arrived.
        """
        ends_s = [
            end_s
            for known_id, rest in self._by_incarnation.items()
            if rest.backend_id == backend_id and known_id != incarnation_id
            for at_s, end_s in rest.named
            if at_s >= since_s and end_s > now_s
        ]
        self._by_incarnation = {
            known_id: rest
            for known_id, rest in self._by_incarnation.items()
            if rest.backend_id != backend_id or known_id == incarnation_id
        }
        if ends_s:
            self.record_named(backend_id, incarnation_id, max(ends_s) - now_s, now_s)
