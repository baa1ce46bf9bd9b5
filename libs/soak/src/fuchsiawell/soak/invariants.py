"""Invariants of the soak, checked against what clients received and what servers executed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["InvariantChecker", "RequestResult"]

# Statuses with which a daemon guarantees that the request was not and will not be executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# This many requests, and over a quarter of the overdue ones, must not end later than this after
# their deadlines (rule CONFIG).
MAX_LATE_S, MIN_LATE_COUNT = 0.5, 8
# Memory of the smallest hosts.
MAX_MEMORY_BYTES = 200_000_000


@dataclass(frozen=True)
class RequestResult:
    """What a client received for one request; status 0 means no response."""

    request_id: str
    idempotent: bool
    status: int
    response_id: str | None
    signed: bool
    body: bytes


@dataclass
class InvariantChecker:
    """Collect violations of invariants, each as one line.

    An incarnation id is "server id/incarnation number"; times are monotonic clock readings.
    """

    violations: list[str] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    repeats: int = 0
    # Requests that ended after their deadlines: daemon, deadline, how much later.
    overdue: list[tuple[str, float, float]] = field(default_factory=list)
    _execution_counts: Counter[str] = field(default_factory=Counter)
    _non_idempotent_ids: set[str] = field(default_factory=set)
    _refused_ids: set[str] = field(default_factory=set)
    _sent_ids: set[str] = field(default_factory=set)
    _assignments: dict[str, list[tuple[int, int, int, float]]] = field(default_factory=dict)
    _grant_history: list[tuple[int, int, int, str]] = field(default_factory=list)

    def record_sent(self, request_id: str, idempotent: bool) -> None:
        """Record a request before a client sends it."""
        self._sent_ids.add(request_id)
        if not idempotent:
            self._non_idempotent_ids.add(request_id)

    def check_result(self, result: RequestResult) -> None:
        """Check that a response is complete and belongs to its request."""
        self.statuses[result.status] += 1
        if 200 <= result.status < 300:
            complete = result.body.endswith(b" ran " + result.request_id.encode())
            if not (complete and result.signed and result.response_id == result.request_id):
                self.violations.append(
                    f"response to {result.request_id} is incomplete or belongs to another request"
                )
        elif result.status in NOT_EXECUTED_STATUSES and not result.idempotent:
            self._refused_ids.add(result.request_id)
        elif result.status == 404:
            self.violations.append(f"{result.request_id} got status 404 although its route exists")

    def record_execution(self, request_id: str, server: str) -> None:
        """Record that a server executes a request, and check that a client sent it."""
        self._execution_counts[request_id] += 1
        if request_id not in self._sent_ids:
            self.violations.append(f"{server} executed {request_id}, which no client sent")

    def check_grant(
        self, incarnation_id: str, first: int, last: int, fence: int, until_s: float, now_s: float
    ) -> None:
        """Check a grant that a server accepted: it is the only owner and has the highest fence."""
        for other, ranges in self._assignments.items():
            if other == incarnation_id:
                continue
            if any(
                low <= last and first <= high and end_s > now_s for low, high, _, end_s in ranges
            ):
                self.violations.append(
                    f"{incarnation_id} was granted keys {first} to {last} that {other} still owns"
                )
        for low, high, earlier_fence, other in self._grant_history:
            if other != incarnation_id and low <= last and first <= high and fence <= earlier_fence:
                self.violations.append(
                    f"{incarnation_id} was granted keys {first} to {last} with fence {fence}, "
                    f"{other} had fence {earlier_fence}"
                )
        self._grant_history.append((first, last, fence, incarnation_id))
        self.record_release(incarnation_id, first, last)
        self._assignments.setdefault(incarnation_id, []).append((first, last, fence, until_s))

    def record_release(self, incarnation_id: str, first: int, last: int) -> None:
        """Remove a key range from the assignments of a server."""
        kept = []
        for low, high, fence, end_s in self._assignments.get(incarnation_id, []):
            if high < first or low > last:
                kept.append((low, high, fence, end_s))
                continue
            if low < first:
                kept.append((low, first - 1, fence, end_s))
            if high > last:
                kept.append((last + 1, high, fence, end_s))
        self._assignments[incarnation_id] = kept

    def record_incarnation_end(self, incarnation_id: str) -> None:
        """Drop all assignments of a server incarnation that has ended."""
        self._assignments.pop(incarnation_id, None)

    def check_overdue(self, excused: Callable[[str, float], bool]) -> None:
        """Check that daemons end requests soon after their deadlines, while undisturbed."""
        late_s = [late_s for name, due_s, late_s in self.overdue if not excused(name, due_s)]
        too_late = [value for value in late_s if value > MAX_LATE_S]
        if len(too_late) >= MIN_LATE_COUNT and len(too_late) > len(late_s) / 4:
            self.violations.append(
                f"{len(too_late)} of {len(late_s)} overdue requests had no end {MAX_LATE_S:g} s "
                "after their deadlines"
            )

    def check_memory(self, peak_bytes_by_daemon: dict[str, int]) -> None:
        """Check that each daemon fits the smallest hosts."""
        for name, peak_bytes in peak_bytes_by_daemon.items():
            if peak_bytes > MAX_MEMORY_BYTES:
                self.violations.append(f"{name} used {peak_bytes >> 20} MiB of memory")

    def check_end(self) -> list[str]:
        """Check the executions after the last request and return all violations."""
        for request_id in sorted(self._non_idempotent_ids):
            if self._execution_counts[request_id] > 1:
                self.violations.append(
                    f"{request_id} was executed too often: {self._execution_counts[request_id]}"
                )
        for request_id in sorted(self._refused_ids):
            if self._execution_counts[request_id]:
                self.violations.append(f"{request_id} was refused as not executed but was executed")
        return self.violations
