"""How much waiting work each kind and each caller has at one server, and who gives way."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.load.deadline_list import DeadlineList

if TYPE_CHECKING:
    from fuchsiawell.load.admission import Entry

__all__ = ["Shares"]


class Shares:
    """Count the work that waits for each kind, and for each caller of a kind.

    When there is no room, the latest request of the heaviest caller of the heaviest kind gives
    way. The heaviest is searched for only then: counting costs every request, searching only
    those that meet a full queue. Source: B. Suter et al., "Design considerations for supporting
    TCP with per-flow queueing", 1998 (longest queue drop).
    """

    def __init__(self) -> None:
        self._work_s_by_kind: dict[str, float] = {}
        self._work_s_by_flow: dict[tuple[str, str], float] = {}
        self._waiting_by_flow: dict[tuple[str, str], DeadlineList[Entry]] = {}

    def add(self, entry: Entry, work_s: float) -> None:
        """Count a request that waits."""
        flow = (entry.kind, entry.caller)
        waiting = self._waiting_by_flow.get(flow)
        if waiting is None:
            waiting = self._waiting_by_flow[flow] = DeadlineList()
        waiting.add(entry, entry.deadline_s, work_s)
        self._work_s_by_flow[flow] = self._work_s_by_flow.get(flow, 0.0) + work_s
        self._work_s_by_kind[entry.kind] = self._work_s_by_kind.get(entry.kind, 0.0) + work_s

    def remove(self, entry: Entry) -> None:
        """Count a request no longer."""
        flow = (entry.kind, entry.caller)
        waiting = self._waiting_by_flow[flow]
        work_s = waiting.remove(entry)
        self._work_s_by_kind[entry.kind] -= work_s
        if waiting:
            self._work_s_by_flow[flow] -= work_s
        else:
            del self._waiting_by_flow[flow], self._work_s_by_flow[flow]

    def victim(self, newcomer: Entry, work_s: float) -> Entry | None:
        """Return the waiting request that gives way to `newcomer`; `None` if the newcomer does.

        Only requests that would run before the newcomer make room for it.
        """
        if not self._work_s_by_flow:
            return None
        kind = self._heavier_kind(newcomer.kind, work_s)
        flow = max(
            (flow for flow in self._work_s_by_flow if flow[0] == kind),
            key=self._work_s_by_flow.__getitem__,
            default=None,
        )
        if flow is None:
            return None
        if kind == newcomer.kind:
            own = (newcomer.kind, newcomer.caller)
            own_s = self._work_s_by_flow.get(own, 0.0) + work_s
            if flow == own or own_s >= self._work_s_by_flow[flow]:
                return None
        return self._waiting_by_flow[flow].last_until(newcomer.deadline_s)

    def _heavier_kind(self, own: str, work_s: float) -> str:
        heaviest = max(self._work_s_by_kind, key=self._work_s_by_kind.__getitem__)
        own_s = self._work_s_by_kind.get(own, 0.0) + work_s
        return own if own_s >= self._work_s_by_kind[heaviest] else heaviest
