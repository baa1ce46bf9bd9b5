"""Judge whether this daemon reaches any backend server, from connections, responses and probes."""

from __future__ import annotations

from itertools import count

__all__ = ["Reachability"]

# Distinct servers at which connections must have failed for a suspicion by number alone.
FAILED_SERVERS_TO_SUSPECT = 3
# A single failure raises a suspicion when no server was reached for this long.
QUIET_S = 0.4
# Probes in a row that must succeed to end a cut.
SUCCESSES_TO_END = 2
NEVER = float("-inf")


class Reachability:
    """Track which servers were reached or failed lately; only probes confirm or end a cut.

    A cut from all servers may leave open connections alive while new ones fail, so responses on
    these don't clear failures.
    """

    def __init__(self) -> None:
        self._cut_off_since_s: float | None = None
        self._impaired_since_s = NEVER
        self._successes = 0
        self._last_connected_s = NEVER
        self._last_contact_s = NEVER
        self._contact_s_by_id: dict[str, float] = {}
        # Servers that failed since a connection to any server was opened, and the first time.
        self._failed_ids: set[str] = set()
        self._first_failure_s: float | None = None
        # Server and due time of each call that waits for a response.
        self._calls: dict[int, tuple[str, float]] = {}
        self._call_ids = count()

    @property
    def cut_off(self) -> bool:
        """Whether probes have confirmed that new connections to servers fail."""
        return self._cut_off_since_s is not None

    @property
    def cut_off_since_s(self) -> float | None:
        """Monotonic time at which the present cut was confirmed; None while there is none."""
        return self._cut_off_since_s

    @property
    def impaired_since_s(self) -> float:
        """Time from which the failures seen may be those of the last confirmed cut."""
        return self._impaired_since_s

    @property
    def failed_ids(self) -> frozenset[str]:
        """Servers that failed since a connection to any server was opened."""
        return frozenset(self._failed_ids)

    def reached_since(self, since_s: float) -> bool:
        """Return whether a server accepted a connection or responded after `since_s`."""
        return self._last_contact_s > since_s

    def connected_since(self, since_s: float) -> bool:
        """Return whether a server accepted a new connection after `since_s`."""
        return self._last_connected_s > since_s

    def is_quiet(self, now_s: float) -> bool:
        """Return whether no server was reached lately."""
        return not self.reached_since(now_s - QUIET_S)

    def contact_s(self, backend_id: str) -> float:
        """Return when a server last accepted a connection or responded; -inf if never."""
        return self._contact_s_by_id.get(backend_id, NEVER)

    def record_connected(self, backend_id: str, now_s: float) -> None:
        """Record that a new connection to a server was opened and not reset at once."""
        self._last_connected_s = now_s
        self._clear_failures()
        self.record_response(backend_id, now_s)

    def record_response(self, backend_id: str, now_s: float) -> None:
        """Record that the head of a response of a server has arrived."""
        self._last_contact_s = now_s
        self._contact_s_by_id[backend_id] = now_s

    def record_failure(self, backend_id: str, now_s: float) -> None:
        """Record that a connection to a server failed, was lost or brought no response in time."""
        self._failed_ids.add(backend_id)
        if self._first_failure_s is None:
            self._first_failure_s = now_s

    def start_call(self, backend_id: str, due_s: float) -> int:
        """Record a call whose response is overdue after `due_s`; return an id for `end_call`."""
        call_id = next(self._call_ids)
        self._calls[call_id] = (backend_id, due_s)
        return call_id

    def end_call(self, call_id: int) -> None:
        """Record that a call has ended."""
        self._calls.pop(call_id, None)

    def record_overdue(self, now_s: float) -> None:
        """Count overdue calls as failures, each once, if no server was reached lately."""
        if not self.is_quiet(now_s):
            return
        for call_id, (backend_id, due_s) in list(self._calls.items()):
            if now_s > due_s:
                del self._calls[call_id]
                self.record_failure(backend_id, now_s)

    def suspected(self, now_s: float, server_count: int) -> bool:
        """Return whether the failures since the last new connection call for probes."""
        if not self._failed_ids or server_count <= 0:
            return False
        if len(self._failed_ids) >= min(FAILED_SERVERS_TO_SUSPECT, server_count):
            return True
        return self.is_quiet(now_s)

    def record_probes(self, reached: bool, now_s: float) -> None:
        """Record the outcome of a round of probes: whether any server accepted a connection."""
        if self._cut_off_since_s is None:
            if not reached:
                self._cut_off_since_s = now_s
                self._impaired_since_s = self._failing_since_s(now_s)
                self._successes = 0
        elif not reached:
            self._successes = 0
        else:
            self._successes += 1
            if self._successes >= SUCCESSES_TO_END:
                self._cut_off_since_s = None
        if reached:
            self._clear_failures()

    def forget(self, backend_id: str) -> None:
        """Discard what is known of a server that was removed."""
        self._contact_s_by_id.pop(backend_id, None)
        self._failed_ids.discard(backend_id)

    def _failing_since_s(self, now_s: float) -> float:
        """Return the last contact or the first failure, whichever is earlier."""
        first_failure_s = now_s if self._first_failure_s is None else self._first_failure_s
        return min(first_failure_s, max(self._last_contact_s, 0.0))

    def _clear_failures(self) -> None:
        self._failed_ids.clear()
        self._first_failure_s = None
