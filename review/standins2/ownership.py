"""Check the rule OWNER on what servers recorded: two servers hold the same keys at a time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Overlap", "overlaps"]


@dataclass(frozen=True)
class Overlap:
    """Keys that two servers held from one time to another."""

    first: int
    last: int
    start_s: float
    end_s: float
    servers: tuple[str, str]

    @property
    def seconds(self) -> float:
        return self.end_s - self.start_s


@dataclass
class _Interval:
    server: str
    first: int
    last: int
    start_s: float
    end_s: float


def overlaps(lines: Iterable[tuple[float, str, dict[str, object]]]) -> list[Overlap]:
    """Return the overlaps of more than 10 ms, the longest first.

    A hold begins with a grant and ends with its time, a release, or the end of the server
    (lines "granted" with `hold_s`, "released", "ended").
    """
    closed: list[_Interval] = []
    open_by_server: dict[str, list[_Interval]] = {}

    def cut(server: str, first: int, last: int, now_s: float, merge: bool) -> list[_Interval]:
        """End what a server holds of a range; return what was held exactly so, to go on."""
        kept, same = [], []
        for held in open_by_server.get(server, []):
            if held.last < first or held.first > last or held.end_s <= now_s:
                (kept if held.end_s > now_s else closed).append(held)
                continue
            if merge and (held.first, held.last) == (first, last):
                same.append(held)
                continue
            if held.first < first:
                kept.append(_Interval(server, held.first, first - 1, held.start_s, held.end_s))
            if held.last > last:
                kept.append(_Interval(server, last + 1, held.last, held.start_s, held.end_s))
            inside = max(held.first, first), min(held.last, last)
            closed.append(_Interval(server, *inside, held.start_s, now_s))
        open_by_server[server] = kept
        return same

    for now_s, what, fields in lines:
        server = str(fields.get("server", ""))
        if what == "granted":
            first, last = int(str(fields["first"])), int(str(fields["last"]))
            end_s = now_s + float(str(fields["hold_s"]))
            same = cut(server, first, last, now_s, merge=True)
            start_s = min((held.start_s for held in same), default=now_s)
            open_by_server[server].append(_Interval(server, first, last, start_s, end_s))
        elif what == "released":
            cut(server, int(str(fields["first"])), int(str(fields["last"])), now_s, merge=False)
        elif what == "ended":
            cut(server, 0, 65535, now_s, merge=False)
    intervals = [*closed, *(held for rest in open_by_server.values() for held in rest)]
    found = []
    for number, a in enumerate(intervals):
        for b in intervals[number + 1 :]:
            if a.server == b.server or a.last < b.first or b.last < a.first:
                continue
            start_s, end_s = max(a.start_s, b.start_s), min(a.end_s, b.end_s)
            if end_s - start_s > 0.01:
                keys = max(a.first, b.first), min(a.last, b.last)
                found.append(Overlap(*keys, start_s, end_s, (a.server, b.server)))
    return sorted(found, key=lambda overlap: -overlap.seconds)
