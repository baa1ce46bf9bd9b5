"""What must hold, judged by what clients got and what servers did."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["Got", "Promises"]

# Answers of a daemon's own that promise that the request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})


@dataclass(frozen=True)
class Got:
    """What a client got for one request; status 0: a closed connection."""

    request_id: str
    repeatable: bool
    status: int
    answered_id: str | None
    signed: bool
    body: bytes


@dataclass
class Promises:
    """Collect broken promises, each as one line."""

    broken: list[str] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    repeats: int = 0
    _runs: Counter[str] = field(default_factory=Counter)
    _sent_once: set[str] = field(default_factory=set)
    _refused: set[str] = field(default_factory=set)
    _known: set[str] = field(default_factory=set)
    _holds: dict[str, list[tuple[int, int, int, float]]] = field(default_factory=dict)
    _highest: list[tuple[int, int, int, str]] = field(default_factory=list)

    def sends(self, request_id: str, repeatable: bool) -> None:
        """Note a request that a client sends."""
        self._known.add(request_id)
        if not repeatable:
            self._sent_once.add(request_id)

    def got(self, answer: Got) -> None:
        """Check an answer."""
        self.statuses[answer.status] += 1
        if 200 <= answer.status < 300:
            whole = answer.body.endswith(b" ran " + answer.request_id.encode())
            if not (whole and answer.signed and answer.answered_id == answer.request_id):
                self.broken.append(f"answer to {answer.request_id} is not its server's whole one")
        elif answer.status in NOT_RUN and not answer.repeatable:
            self._refused.add(answer.request_id)
        elif answer.status == 404:
            self.broken.append(f"{answer.request_id} was denied though its route is there")

    def ran(self, request_id: str, server: str) -> None:
        """Note that a server ran a request."""
        self._runs[request_id] += 1
        if request_id not in self._known:
            self.broken.append(f"{server} ran {request_id}, which no client sent")

    def granted(
        self, life: str, first: int, last: int, fence: int, until_s: float, now_s: float
    ) -> None:
        """Check a grant that a server took: nobody else holds the keys, and the fence is newest."""
        for other, held in self._holds.items():
            if other == life:
                continue
            if any(a <= last and first <= b and end > now_s for a, b, _, end in held):
                self.broken.append(f"{life} got keys {first} to {last} that {other} still holds")
        for a, b, highest, other in self._highest:
            if other != life and a <= last and first <= b and fence <= highest:
                self.broken.append(
                    f"{life} got keys {first} to {last} under {fence}, {other} had {highest}"
                )
        self._highest.append((first, last, fence, life))
        self.released(life, first, last)
        self._holds.setdefault(life, []).append((first, last, fence, until_s))

    def released(self, life: str, first: int, last: int) -> None:
        """Note that a server gave keys back."""
        kept = []
        for a, b, fence, end in self._holds.get(life, []):
            if b < first or a > last:
                kept.append((a, b, fence, end))
                continue
            if a < first:
                kept.append((a, first - 1, fence, end))
            if b > last:
                kept.append((last + 1, b, fence, end))
        self._holds[life] = kept

    def ended(self, life: str) -> None:
        """Note that a server's life is over."""
        self._holds.pop(life, None)

    def conclude(self) -> list[str]:
        """Check what can only be told at the end; returns all broken promises."""
        for request_id in sorted(self._sent_once):
            if self._runs[request_id] > 1:
                self.broken.append(f"{request_id} must not repeat and ran {self._runs[request_id]}")
        for request_id in sorted(self._refused):
            if self._runs[request_id]:
                self.broken.append(f"{request_id} was refused as not run and ran")
        return self.broken
