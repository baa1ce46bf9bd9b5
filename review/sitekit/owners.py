"""The rule OWNER, judged by what backends were granted and ran."""

from __future__ import annotations

from collections import defaultdict
from itertools import pairwise
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sitekit.backend import Backend, Hold, Run

HELD_TOGETHER_S = 0.5


def _spans(backend: Backend, key: int) -> list[tuple[float, float]]:
    """Return the times in which a backend held a key, joined over renewals."""
    spans: list[tuple[float, float]] = []
    for hold in sorted(
        (h for h in backend.holds if h.first <= key <= h.last), key=lambda h: h.from_s
    ):
        until_s = min(hold.until_s, backend.ended_s or hold.until_s)
        if spans and hold.from_s <= spans[-1][1]:
            spans[-1] = (spans[-1][0], max(spans[-1][1], until_s))
        elif until_s > hold.from_s:
            spans.append((hold.from_s, until_s))
    return spans


def broken_owner(backends: list[Backend], runs: list[Run], started_s: float) -> list[str]:
    """Return how the rule OWNER was broken; for each range of keys the first of each kind."""
    found: list[str] = []
    edges = sorted(
        {0}
        | {h.first for b in backends for h in b.holds}
        | {h.last + 1 for b in backends for h in b.holds}
    )
    runs_by_backend: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        runs_by_backend[run.backend].append(run)
    for first, end in pairwise(edges):
        keys = f"keys {first}-{end - 1}"
        spans = [_spans(backend, first) for backend in backends]
        for number, one in enumerate(backends):
            for place, other in enumerate(backends[number + 1 :], number + 1):
                for begin_s, end_s in _overlaps(spans[number], spans[place]):
                    where = f"{keys} at {one.id} and {other.id}"
                    when = f"from {begin_s - started_s:.3f} s for {end_s - begin_s:.3f} s"
                    if end_s - begin_s > HELD_TOGETHER_S:
                        found.append(f"OWNER: two backends hold {where} {when}")
                    both = [
                        any(
                            run.key is not None
                            and first <= run.key < end
                            and begin_s <= run.at_s <= end_s
                            for run in runs_by_backend[b.id]
                        )
                        for b in (one, other)
                    ]
                    if all(both):
                        found.append(f"OWNER: both begin requests on {where} {when}")
        found += _low_fences(backends, first, keys, started_s)
    return found


def _overlaps(
    one: list[tuple[float, float]], other: list[tuple[float, float]]
) -> list[tuple[float, float]]:
    pairs = [(max(a, c), min(b, d)) for a, b in one for c, d in other]
    return [(begin, end) for begin, end in pairs if end > begin]


def _low_fences(backends: list[Backend], key: int, keys: str, started_s: float) -> list[str]:
    """Return the first grant under a token that is not above all that others had."""
    grants: list[tuple[float, str, Hold]] = sorted(
        (h.from_s, b.id, h) for b in backends for h in b.holds if h.first <= key <= h.last
    )
    highest: dict[str, int] = {}
    for at_s, backend_id, hold in grants:
        above = max((f for other, f in highest.items() if other != backend_id), default=0)
        known = highest.get(backend_id)
        if hold.fence <= above and not hold.renewal:
            return [
                f"OWNER: {backend_id} takes {keys} at {at_s - started_s:.3f} s with the token "
                f"{hold.fence}, and another backend had them with {above}"
            ]
        highest[backend_id] = max(hold.fence, known or 0)
    return []
