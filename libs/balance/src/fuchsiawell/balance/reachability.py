"""Judge whether this daemon reaches any backend server, from connections, responses and probes."""

from __future__ import annotations

__all__ = ["Reachability"]

# Distinct servers at which connections must have failed for a suspicion by number alone.
FAILED_SERVERS_TO_SUSPECT = 3
# A single failure raises a suspicion when no server was reached for this long.
QUIET_S = 0.5
# Probes in a row that must succeed to end a cut.
SUCCESSES_TO_END = 2


class Reachability:
    """Track which servers were reached or failed lately; only probes confirm or end a cut.

    A cut from all servers may leave open connections alive while new ones fail, so responses on
    these don't clear failures.
    """

    def __init__(self) -> None:
        self._cut_off_since_s: float | None = None
        self._successes = 0
        self._last_contact_s = float("-inf")
        self._contact_s_by_id: dict[str, float] = {}
        # Last failure of each server since a connection to any server was opened.
        self._failure_s_by_id: dict[str, float] = {}

    @property
    def cut_off(self) -> bool:
        """Whether probes have confirmed that new connections to servers fail."""
        return self._cut_off_since_s is not None

    @property
    def cut_off_since_s(self) -> float | None:
        """Monotonic time at which a cut was confirmed; None while there is none."""
        return self._cut_off_since_s

    @property
    def failed_ids(self) -> set[str]:
        """Servers that failed since a connection to any server was opened."""
        return set(self._failure_s_by_id)

    def reached_within(self, seconds: float, now_s: float) -> bool:
        """Return whether a server accepted a connection or responded in the last `seconds`."""
        return now_s - self._last_contact_s <= seconds

    def contact_s(self, backend_id: str) -> float:
        """Return when a server last accepted a connection or responded; -inf if never."""
        return self._contact_s_by_id.get(backend_id, float("-inf"))

    def record_connected(self, backend_id: str, now_s: float) -> None:
        """Record that a new connection to a server was opened."""
        self._failure_s_by_id.clear()
        self._record_contact(backend_id, now_s)

    def record_response(self, backend_id: str, now_s: float) -> None:
        """Record that the head of a response of a server has arrived."""
        self._record_contact(backend_id, now_s)

    def record_failure(self, backend_id: str, now_s: float) -> None:
        """Record that a connection to a server failed, was lost or brought no response in time."""
        self._failure_s_by_id[backend_id] = now_s

    def suspected(self, now_s: float, server_count: int) -> bool:
        """Return whether the failures since the last new connection call for probes."""
        if not self._failure_s_by_id or server_count <= 0:
            return False
        if len(self._failure_s_by_id) >= min(FAILED_SERVERS_TO_SUSPECT, server_count):
            return True
        return not self.reached_within(QUIET_S, now_s)

    def record_probes(self, reached: bool, now_s: float) -> None:
        """Record the outcome of a round of probes: whether any server accepted a connection."""
        if self._cut_off_since_s is None:
            if not reached:
                self._cut_off_since_s = now_s
                self._successes = 0
        elif not reached:
            self._successes = 0
        else:
            self._successes += 1
            if self._successes >= SUCCESSES_TO_END:
                self._cut_off_since_s = None
        if reached:
            self._failure_s_by_id.clear()

    def forget(self, backend_id: str) -> None:
        """Discard what is known of a server that was removed."""
        self._contact_s_by_id.pop(backend_id, None)
        self._failure_s_by_id.pop(backend_id, None)

    def _record_contact(self, backend_id: str, now_s: float) -> None:
        self._last_contact_s = now_s
        self._contact_s_by_id[backend_id] = now_s
