"""Specification of the first owners after the store came back from a copy that lacks a move.

Granter A moves the keys from server S to server T, and the store forgets it: its copy names S. A
grants T the keys once W or G, and so most daemons, have acknowledged a replica of the move; it
lives on, is killed, or is cut off from the store and renews the grant of T for a bounded time. G is
the first granter of the new era, started in it or not, and asks A and witness W what the copy
lacks. H follows G, after a kill or a planned stop, and finds the map of G. Other keys have moved
earlier, so that a reply may arrive in part.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import product
from typing import TYPE_CHECKING, NamedTuple

from fuchsiawell.model.checker import Spec, Step
from fuchsiawell.model.granting import SINGLE_OWNER

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["RestoredRules", "restored_owners_spec"]

# Of A, W and G.
MAJORITY = 2
GRANT_TTL_TICKS = 1
STORE_TIMEOUT_TICKS = 2  # how long a granter renews without the store
UNKNOWN_OWNERS_WAIT_TICKS = STORE_TIMEOUT_TICKS + GRANT_TTL_TICKS


@dataclass(frozen=True, slots=True)
class RestoredRules:
    """Rules of the protocol and assumptions; each change is a mutant or a known limit."""

    # Without a witness nothing is granted until all grants that may exist have expired.
    waits_without_witness: bool = True
    # A reply is a witness's only if as many assignments have arrived as it names.
    counts_assignments: bool = True
    # A daemon that started in this era is no witness.
    witness_started_before: bool = True
    # The wait is recorded for a successor.
    records_wait: bool = True
    # One witness alone is not believed: most daemons must have known the owners.
    needs_majority: bool = True
    # Assignments that arrive without a count do not make a witness.
    witness_names_count: bool = True
    # A granter vouches only when it has ended, and so has heard of its own last moves.
    vouches_after_end: bool = True
    # A map whose owners are still waited for is not vouched for in the next era.
    waiting_map_is_unknown: bool = True
    # Keys that move are granted only when most daemons know of the move.
    replicates_moves: bool = True
    # A daemon that has told a granter of the new era what it knows acknowledges no replica of A.
    refuses_after_reply: bool = True
    # Assumption: most daemons answer A. If not, it grants what the store confirms.
    most_answer: bool = True


class Daemon(NamedTuple):
    """What a daemon knows of the time before the store came back from the copy."""

    cut_off: bool = False  # from the store
    heard_of_era: bool = False
    restarted: bool = False  # in the new era, without memory
    knows_move: bool = False


NO_LONGER_ASKED = Daemon(heard_of_era=True)


class Reply(NamedTuple):
    """What has arrived of a daemon's reply to G."""

    label: str = ""
    is_witness: bool = False
    has_move: bool = False


class RestoredState(NamedTuple):
    """State of the whole system; all times are in ticks, `*_ttl_left` until a grant expires."""

    drills: int = 0
    released: bool = False  # S has released the keys to A
    stored: bool = False  # that T owns the keys, by A
    a_alive: bool = True
    a_active: bool = True
    a_since_contact: int = 0
    acknowledged: bool = False  # a replica of the move, by W or G
    w_has_replied: bool = False  # to G
    a: Daemon = Daemon()
    w: Daemon = Daemon()
    g: Daemon = Daemon()
    terms: int = 0  # of the new era
    granter_alive: bool = False
    t_is_owner: bool = False  # in the map of the new era
    witnessed: bool = False
    wait: int = 0  # until the granter of the new era may grant
    recorded_wait: int = 0
    waiting: bool = False  # no map of the new era is written that was not waited for
    granted: bool = False  # in the new era
    s_ttl_left: int = GRANT_TTL_TICKS
    t_ttl_left: int = 0


def restored_owners_spec(rules: RestoredRules) -> Spec:
    """Return the specification under `rules`."""
    return Spec(
        name="restored owners",
        initial=RestoredState(),
        steps=lambda state: _steps(state, rules),
        properties={SINGLE_OWNER: lambda state: not (state.s_ttl_left and state.t_ttl_left)},
        goals={
            "S owns the keys in the new era by a witness": lambda state: (
                state.granted and state.witnessed and state.s_ttl_left > 0
            ),
            "T owns the keys in the new era by a witness": lambda state: (
                state.granted and state.witnessed and state.t_ttl_left > 0
            ),
            "S owns the keys after the wait": lambda state: (
                state.granted and not state.witnessed and state.s_ttl_left > 0
            ),
            "T owns the keys after the wait": lambda state: (
                state.granted and not state.witnessed and state.t_ttl_left > 0
            ),
            "S owns the keys after the wait of a successor": lambda state: (
                state.granted
                and not state.witnessed
                and state.terms == 2
                and state.recorded_wait > 0
                and state.s_ttl_left > 0
            ),
            "A cut off from the store renews T in the new era": lambda state: (
                state.terms > 0 and state.a.cut_off and state.a_active and state.t_ttl_left > 0
            ),
        },
    )


def _steps(state: RestoredState, rules: RestoredRules) -> Iterator[Step]:
    yield Step("a tick passes", _tick(state))
    yield from _a_steps(state, rules)
    if not state.drills:
        yield from _contact_steps(state)
        yield Step("the store comes back from a copy that names S", state._replace(drills=1))
    elif not state.terms:
        yield from _new_era_steps(state)
        yield from _take_over_steps(state, rules)
    else:
        yield from _granter_steps(state, rules)


def _tick(state: RestoredState) -> RestoredState:
    a, a_active, since_contact = state.a, state.a_active, state.a_since_contact
    if not a.heard_of_era and (a.cut_off or state.drills):
        since_contact = min(since_contact + 1, STORE_TIMEOUT_TICKS + 1)
    if a_active and since_contact > STORE_TIMEOUT_TICKS:
        a, a_active = a._replace(knows_move=state.stored), False
    return state._replace(
        a=a,
        a_active=a_active,
        a_since_contact=since_contact,
        wait=max(0, state.wait - 1),
        s_ttl_left=max(0, state.s_ttl_left - 1),
        t_ttl_left=max(0, state.t_ttl_left - 1),
    )


def _a_steps(state: RestoredState, rules: RestoredRules) -> Iterator[Step]:
    if state.a_alive:
        yield Step("A is killed", state._replace(a_alive=False, a_active=False, a=Daemon()))
    if state.a_alive and state.drills and not state.a.heard_of_era and not state.a.cut_off:
        a = _after_listing(state.a)._replace(knows_move=state.stored)
        yield Step("A hears of the new era and ends", state._replace(a_active=False, a=a))
    if not state.a_active:
        return
    if not state.released:
        yield Step("A renews the grant of S", state._replace(s_ttl_left=GRANT_TTL_TICKS))
        yield Step("S releases the keys to A", state._replace(released=True, s_ttl_left=0))
    elif state.stored:
        yield from _replica_steps(state, rules)
        if _may_grant_to_t(state, rules):
            yield Step("A grants the keys to T", state._replace(t_ttl_left=GRANT_TTL_TICKS))
        if not state.a.knows_move:
            known = state.a._replace(knows_move=True)
            yield Step("A takes its new map", state._replace(a=known))
    elif not state.drills and not state.a.cut_off:
        yield Step("A stores that T owns the keys", state._replace(stored=True))


def _may_grant_to_t(state: RestoredState, rules: RestoredRules) -> bool:
    if state.acknowledged or not rules.replicates_moves:
        return True
    return not rules.most_answer and not state.a.cut_off and not state.drills


def _replica_steps(state: RestoredState, rules: RestoredRules) -> Iterator[Step]:
    """Yield the steps by which W and G acknowledge the move; the store is not needed for it."""
    if state.acknowledged:
        return
    if not state.terms:
        for name, daemon in (("W", state.w), ("G", state.g)):
            known = _with_daemon(state, name, daemon._replace(knows_move=True))
            yield Step(f"{name} acknowledges the move", known._replace(acknowledged=True))
    elif not (state.w_has_replied and rules.refuses_after_reply):
        yield Step("W acknowledges the move", state._replace(acknowledged=True))


def _contact_steps(state: RestoredState) -> Iterator[Step]:
    """Yield the steps by which daemons lose or regain contact to the store before the drill."""
    if state.a_active and not state.a.cut_off:
        yield Step("A is cut off from the store", state._replace(a=state.a._replace(cut_off=True)))
    for name, daemon in (("W", state.w), ("G", state.g)):
        if daemon.cut_off:
            back = Daemon(knows_move=state.stored)
            yield Step(f"{name} reaches the store again", _with_daemon(state, name, back))
            continue
        cut = daemon._replace(cut_off=True)
        yield Step(f"{name} is cut off from the store", _with_daemon(state, name, cut))
        if state.stored and not daemon.knows_move:
            known = daemon._replace(knows_move=True)
            yield Step(f"{name} hears of the move", _with_daemon(state, name, known))


def _new_era_steps(state: RestoredState) -> Iterator[Step]:
    """Yield the steps by which W and G come to the new era."""
    for name, daemon in (("W", state.w), ("G", state.g)):
        if not daemon.heard_of_era:
            yield Step(
                f"{name} hears of the new era", _with_daemon(state, name, _after_listing(daemon))
            )
        if not daemon.restarted:
            restarted = Daemon(heard_of_era=True, restarted=True)
            yield Step(
                f"{name} is killed and starts in the new era",
                _with_daemon(state, name, restarted),
            )


def _with_daemon(state: RestoredState, name: str, daemon: Daemon) -> RestoredState:
    return state._replace(w=daemon) if name == "W" else state._replace(g=daemon)


def _after_listing(daemon: Daemon) -> Daemon:
    """Return a daemon that hears of the new era."""
    return daemon._replace(cut_off=False, heard_of_era=True)


def _is_witness(daemon: Daemon, rules: RestoredRules) -> bool:
    return not (daemon.restarted and rules.witness_started_before)


def _take_over_steps(state: RestoredState, rules: RestoredRules) -> Iterator[Step]:
    """Yield the take-overs of G by all replies that may arrive."""
    if not state.g.heard_of_era:
        return
    # Different replies may come to the same.
    outcomes: set[tuple[bool, bool, bool]] = set()
    a_replies = [Reply()]
    if state.a_alive:
        may_vouch = not (state.a_active and rules.vouches_after_end)
        a_replies = list(_replies("A", state.a, rules, may_vouch))
    for replies in product(a_replies, _replies("W", state.w, rules)):
        knows_move = state.g.knows_move or any(reply.has_move for reply in replies)
        witnesses = _is_witness(state.g, rules) + sum(reply.is_witness for reply in replies)
        witnessed = witnesses >= (MAJORITY if rules.needs_majority else 1)
        w_has_replied = bool(replies[1].label)
        if (knows_move, witnessed, w_has_replied) in outcomes:
            continue
        outcomes.add((knows_move, witnessed, w_has_replied))
        wait = UNKNOWN_OWNERS_WAIT_TICKS
        if witnessed or not rules.waits_without_witness:
            wait = 0
        arrived = ", ".join(reply.label for reply in replies if reply.label) or "no reply"
        yield Step(
            f"G takes over ({arrived})",
            state._replace(
                terms=1,
                granter_alive=True,
                t_is_owner=knows_move,
                witnessed=witnessed,
                wait=wait,
                recorded_wait=wait if rules.records_wait else 0,
                waiting=wait > 0,
                w_has_replied=w_has_replied,
                w=NO_LONGER_ASKED,
                g=NO_LONGER_ASKED,
            ),
        )


def _replies(
    name: str, daemon: Daemon, rules: RestoredRules, may_vouch: bool = True
) -> Iterator[Reply]:
    """Yield the replies of a daemon, each datagram of which may be lost."""
    knows_others, knows_move = not daemon.restarted, daemon.knows_move
    named = knows_others + knows_move
    for has_count, has_others, has_move in product(
        (False, True) if may_vouch and _is_witness(daemon, rules) else (False,),
        (False, True) if knows_others else (False,),
        (False, True) if knows_move else (False,),
    ):
        arrived = has_others + has_move
        if has_count:
            is_witness = arrived >= named or not rules.counts_assignments
        else:
            is_witness = arrived > 0 and not rules.witness_names_count
        parts = [
            part
            for part, is_there in (
                (f"the count {named}", has_count),
                ("other keys", has_others),
                ("the move", has_move),
            )
            if is_there
        ]
        label = f"{' and '.join(parts)} from {name}" if parts else ""
        yield Reply(label, is_witness, has_move)


def _granter_steps(state: RestoredState, rules: RestoredRules) -> Iterator[Step]:
    granter = "G" if state.terms == 1 else "H"
    if state.granter_alive:
        if not state.wait:
            granted = (
                state._replace(granted=True, waiting=False, t_ttl_left=GRANT_TTL_TICKS)
                if state.t_is_owner
                else state._replace(granted=True, waiting=False, s_ttl_left=GRANT_TTL_TICKS)
            )
            yield Step(f"{granter} grants the keys to {'T' if state.t_is_owner else 'S'}", granted)
        if state.terms == 1:
            ended = state._replace(granter_alive=False)
            yield Step("G is killed", ended)
            rest = state.wait if rules.records_wait else 0
            yield Step("G stops as planned", ended._replace(recorded_wait=rest))
    else:
        yield Step(
            "H takes over",
            state._replace(terms=2, granter_alive=True, wait=state.recorded_wait, granted=False),
        )
    if state.drills == 1:
        wait = 0
        if state.waiting and rules.waiting_map_is_unknown:
            wait = UNKNOWN_OWNERS_WAIT_TICKS
        yield Step(
            "the store comes back again without what was written since; H takes over",
            state._replace(
                drills=2,
                terms=2,
                granter_alive=True,
                granted=False,
                wait=wait,
                recorded_wait=wait if rules.records_wait else 0,
            ),
        )
