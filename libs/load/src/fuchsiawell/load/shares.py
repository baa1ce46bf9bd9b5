"""How much of one server each kind and each caller holds, and who gives way."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.load.deadline_list import DeadlineList
from fuchsiawell.load.heaviest import Heaviest

if TYPE_CHECKING:
    from fuchsiawell.load.admission import Entry

__all__ = ["Shares"]


@dataclass(slots=True)
class _Held:
    work_s: float
    waits: bool


class Shares:
    """Count the work that each kind, and each caller of a kind, has running and waiting.

    When there is no room, the latest waiting request of the heaviest caller of the heaviest kind
    gives way. Source: B. Suter et al., "Design considerations for supporting TCP with per-flow
    queueing", 1998 (longest queue drop).
    """

    def __init__(self) -> None:
        self._held_by_entry: dict[Entry, _Held] = {}
        self._kinds: Heaviest[str] = Heaviest()
        self._callers_by_kind: dict[str, Heaviest[str]] = {}
        self._waiting_by_flow: dict[tuple[str, str], DeadlineList[Entry]] = {}

    def wait(self, entry: Entry, work_s: float) -> None:
        """Count a request that waits."""
        self._hold(entry, _Held(work_s, waits=True))
        flow = self._waiting_by_flow.setdefault((entry.kind, entry.caller), DeadlineList())
        flow.add(entry, entry.deadline_s, work_s)

    def run(self, entry: Entry, work_s: float) -> None:
        """Count a request that runs."""
        self._hold(entry, _Held(work_s, waits=False))

    def release(self, entry: Entry) -> None:
        """Count a request no longer."""
        held = self._held_by_entry.pop(entry)
        self._kinds.add(entry.kind, -held.work_s)
        callers = self._callers_by_kind[entry.kind]
        callers.add(entry.caller, -held.work_s)
        if callers.heaviest() is None:
            del self._callers_by_kind[entry.kind]
        if held.waits:
            self._drop_from_flow((entry.kind, entry.caller), entry)

    def victim(self, newcomer: Entry, work_s: float) -> Entry | None:
        """Return the waiting request that gives way to `newcomer`; `None` if the newcomer does.

        Only requests that would run before the newcomer make room for it.
        """
        kind = self._heavier_kind(newcomer.kind, work_s)
        callers = self._callers_by_kind.get(kind)
        caller = None if callers is None else callers.heaviest()
        if callers is None or caller is None:
            return None
        if kind == newcomer.kind:
            own_s = callers.weight(newcomer.caller) + work_s
            if caller == newcomer.caller or own_s >= callers.weight(caller):
                return None
        flow = self._waiting_by_flow.get((kind, caller))
        return None if flow is None else flow.last_until(newcomer.deadline_s)

    def _heavier_kind(self, own: str, work_s: float) -> str:
        heaviest = self._kinds.heaviest()
        if heaviest is None or self._kinds.weight(own) + work_s >= self._kinds.weight(heaviest):
            return own
        return heaviest

    def _hold(self, entry: Entry, held: _Held) -> None:
        self._held_by_entry[entry] = held
        self._kinds.add(entry.kind, held.work_s)
        self._callers_by_kind.setdefault(entry.kind, Heaviest()).add(entry.caller, held.work_s)

    def _drop_from_flow(self, key: tuple[str, str], entry: Entry) -> None:
        flow = self._waiting_by_flow[key]
        flow.remove(entry)
        if not flow:
            del self._waiting_by_flow[key]
