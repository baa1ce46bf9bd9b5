"""Specification of a series of granters: a grant of any earlier one is waited out.

Granter A of term 1 is cut off with server S and renews its grant for some time without the store.
Other daemons follow each other as granters outside. Each ends by a planned stop or by a kill, after
which it may come back and report, or is cut off from the store and goes on to renew (it is called P
then). The current one, G, may move the keys to server T once it has waited for all of them. The
store may come back from an older copy once: the record of earlier granters is lost then, and the
fence in it falls. Delays of messages and servers that do not answer are in the specification of
granting.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from fuchsiawell.model.checker import Spec, Step

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["NEW_FENCES", "ONE_OWNER", "SeriesRules", "series_spec"]

GRANT_TTL_TICKS = 1
STORE_TIMEOUT_TICKS = 2  # how long a granter renews without contact to the store
MAX_TERM = 4

ONE_OWNER = "two servers never own the keys at once in a series of granters"
NEW_FENCES = "no fence is given out twice"


@dataclass(frozen=True, slots=True)
class SeriesRules:
    """Rules of the protocol; all hold in the protocol; each change is a mutant."""

    # A granter hands on what it still had to wait for in the record of its take-over.
    record_at_takeover: bool = True
    # The same at a planned stop.
    record_at_stop: bool = True
    # The report of a granter ends the wait for that granter only.
    report_counts_for_sender: bool = True
    # A daemon reports a later term only when it has stopped granting in its own.
    reports_after_end: bool = True
    # An accepted fence counts for its own range only.
    accepted_by_range: bool = True
    # The first granter of an era of the store waits for those that the record has lost.
    waits_in_new_era: bool = True
    # Fences of an era are above all earlier ones, whatever the stored map says.
    fences_by_era: bool = True
    # A lease is not renewed in a later era than the one that it was given in.
    lease_by_era: bool = True
    # A conditional write is not carried out in a later era than its expectation is of.
    write_by_era: bool = True


class SeriesState(NamedTuple):
    """State of the whole system; all times are in ticks, `wait_*` until G stops waiting."""

    term: int = 1
    a_active: bool = True
    a_since_contact: int = 0
    # The granter before G, if it was cut off from the store and goes on.
    p_active: bool = False
    p_since_contact: int = 0
    p_may_report: bool = False
    p_has_moved: bool = False  # P granted the keys to T in its term
    g_alive: bool = True
    g_ended_cleanly: bool = False
    wait_a: int = 0
    wait_p: int = 0
    quiet: int = 0  # since the last wait of G ended
    record_a: int = 0  # how long A may still renew, in the record
    record_lost: bool = False
    drilled: bool = False
    accepted: bool = False  # S accepted a fence of G for these keys
    accepted_elsewhere: bool = False  # the same for other keys
    s_refuses_a: bool = False  # S accepted a newer fence for these keys
    s_refuses_p: bool = False
    t_is_owner: bool = False
    s_ttl_left: int = GRANT_TTL_TICKS
    t_ttl_left: int = 0
    fence_recorded: int = 1
    fence_highest: int = 1
    fence_repeated: bool = False


def series_spec(rules: SeriesRules) -> Spec:
    """Return the specification under `rules`."""
    return Spec(
        name="series of granters",
        initial=SeriesState(),
        steps=lambda state: _steps(state, rules),
        properties={
            ONE_OWNER: lambda state: not (state.s_ttl_left and state.t_ttl_left),
            NEW_FENCES: lambda state: not state.fence_repeated,
        },
        goals={
            "T owns the keys in the last term": lambda state: (
                state.term == MAX_TERM and state.t_ttl_left > 0
            ),
            "T owns the keys after the store came back from a copy": lambda state: (
                state.drilled and state.t_ttl_left > 0
            ),
            "S owns the keys by the current granter": lambda state: (
                state.accepted and state.s_ttl_left > 0
            ),
        },
    )


def _steps(state: SeriesState, rules: SeriesRules) -> Iterator[Step]:
    yield Step("a tick passes", _tick(state, rules))
    yield from _earlier_steps(state, rules)
    if state.term > 1:
        yield from _current_steps(state, rules)
    if not state.drilled and state.term > 1:
        yield Step(
            "the store comes back from an older copy",
            state._replace(drilled=True, record_lost=True, record_a=0, fence_recorded=0),
        )
    if state.term < MAX_TERM and not state.p_active:
        yield Step("the next granter takes over", _next_term(state, rules))


def _tick(state: SeriesState, rules: SeriesRules) -> SeriesState:
    a_since = min(state.a_since_contact + 1, STORE_TIMEOUT_TICKS) if state.term > 1 else 0
    p_since = min(state.p_since_contact + 1, STORE_TIMEOUT_TICKS)
    if state.drilled and not rules.lease_by_era:
        # P renews by an id that is another daemon's lease now, and takes itself for the granter.
        p_since = 0
    waiting = state.wait_a > 0 or state.wait_p > 0
    return state._replace(
        a_since_contact=a_since,
        a_active=state.a_active and a_since < STORE_TIMEOUT_TICKS,
        p_since_contact=p_since,
        p_active=state.p_active and p_since < STORE_TIMEOUT_TICKS,
        wait_a=max(0, state.wait_a - 1),
        wait_p=max(0, state.wait_p - 1),
        quiet=0 if waiting else min(state.quiet + 1, GRANT_TTL_TICKS),
        s_ttl_left=max(0, state.s_ttl_left - 1),
        t_ttl_left=max(0, state.t_ttl_left - 1),
    )


def _earlier_steps(state: SeriesState, rules: SeriesRules) -> Iterator[Step]:
    """Yield the steps of A, of P and of a granter that was killed and came back."""
    for name, active, renews_s in (
        ("A", state.a_active, not state.s_refuses_a),
        ("P", state.p_active, not state.s_refuses_p and not state.p_has_moved),
    ):
        if not active:
            continue
        if renews_s:
            yield Step(f"{name} renews the grant of S", state._replace(s_ttl_left=GRANT_TTL_TICKS))
        if state.term > 1:
            heard = _heard_of(state, name)
            ended = (
                heard._replace(a_active=False) if name == "A" else heard._replace(p_active=False)
            )
            yield Step(f"{name} learns of a later term, ends and reports", ended)
            if not rules.reports_after_end:
                yield Step(f"{name} reports a later term while it still renews", heard)
    if state.p_may_report and not state.p_active:
        heard = _heard_of(state, "P")._replace(p_may_report=False)
        if not rules.report_counts_for_sender:
            heard = heard._replace(wait_a=0)
        yield Step("the killed granter is back and reports", heard)
    if state.p_active and state.drilled and not rules.write_by_era and not state.t_is_owner:
        yield Step(
            "P moves the keys to T by a reused revision",
            state._replace(t_is_owner=True, t_ttl_left=GRANT_TTL_TICKS),
        )


def _heard_of(state: SeriesState, name: str) -> SeriesState:
    """Return the state after G's wait for a granter has been ended by its report."""
    waited = state._replace(wait_a=0) if name == "A" else state._replace(wait_p=0)
    return waited._replace(quiet=0)


def _current_steps(state: SeriesState, rules: SeriesRules) -> Iterator[Step]:
    if not state.g_alive:
        return
    if not state.t_is_owner:
        yield Step(
            "G renews the grant of S",
            state._replace(
                accepted=True, s_refuses_a=True, s_refuses_p=True, s_ttl_left=GRANT_TTL_TICKS
            ),
        )
        yield Step("S accepts a grant of G for other keys", state._replace(accepted_elsewhere=True))
    if _may_move(state, rules):
        yield Step(
            "G grants the keys to T",
            _with_new_fence(state, rules)._replace(t_is_owner=True, t_ttl_left=GRANT_TTL_TICKS),
        )
    stopped = state._replace(g_alive=False, g_ended_cleanly=True, record_a=state.wait_a)
    if not rules.record_at_stop:
        stopped = stopped._replace(record_a=0)
    yield Step("G stops as planned", stopped)
    yield Step("G is killed", state._replace(g_alive=False, g_ended_cleanly=False))


def _may_move(state: SeriesState, rules: SeriesRules) -> bool:
    """Tell whether G can be certain that S owns nothing that it does not release."""
    if state.t_is_owner or (state.s_ttl_left and state.accepted):
        return False
    has_accepted = state.accepted or (state.accepted_elsewhere and not rules.accepted_by_range)
    waited = not state.wait_a and not state.wait_p and state.quiet == GRANT_TTL_TICKS
    return has_accepted or waited


def _next_term(state: SeriesState, rules: SeriesRules) -> SeriesState:
    """Return the state after a take-over; a granter that has not ended is P from then on."""
    first = state.term == 1
    wait_a = STORE_TIMEOUT_TICKS if first else state.record_a
    if state.record_lost and rules.waits_in_new_era:
        wait_a = STORE_TIMEOUT_TICKS
    after = state._replace(
        term=state.term + 1,
        p_active=state.g_alive and not first,
        p_since_contact=0,
        p_has_moved=state.t_is_owner,
        s_refuses_p=False,
        p_may_report=not first and not state.g_alive and not state.g_ended_cleanly,
        g_alive=True,
        g_ended_cleanly=False,
        wait_a=wait_a,
        wait_p=0 if first or state.g_ended_cleanly else STORE_TIMEOUT_TICKS,
        quiet=0,
        record_a=wait_a if rules.record_at_takeover else 0,
        record_lost=False,
        accepted=False,
        accepted_elsewhere=False,
    )
    return _with_new_fence(after, rules)


def _with_new_fence(state: SeriesState, rules: SeriesRules) -> SeriesState:
    fence = state.fence_recorded + 1
    if state.drilled and rules.fences_by_era:
        fence = max(fence, state.fence_highest + 1)
    return state._replace(
        fence_recorded=fence,
        fence_highest=max(fence, state.fence_highest),
        fence_repeated=state.fence_repeated or fence <= state.fence_highest,
    )
