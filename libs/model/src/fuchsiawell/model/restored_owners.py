"""Specification of the first owners after the store came back from a copy that lacks a move.

Granter A moves the keys from server S to server T, and the store forgets it: its copy names S. A
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

GRANT_TTL_TICKS = 1
STORE_TIMEOUT_TICKS = 2  # how long a granter renews, and a daemon vouches, without the store
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
    # A daemon cut off from the store for as long as a granter may renew is no witness.
    witness_was_in_touch: bool = True
    # Assignments that arrive without a count do not make a witness. The gateway takes them for
    # those of a daemon of an earlier release, so this is a known limit of it.
    witness_names_count: bool = True
    # Assumption: a daemon in touch with the store hears of each move as soon as it is stored.
    watchers_hear_of_moves: bool = True
    # Assumption: so does a daemon that is cut off, but not for so long that it is no witness.
    others_hear_of_moves: bool = True
    # Assumption: a granter that is asked what it knows has heard of its own moves too.
    granter_knows_own_moves: bool = True
    # Assumption: the store comes back from a copy once only.
    restored_once: bool = True


class Daemon(NamedTuple):
    """What a daemon knows of the time before the store came back from the copy."""

    cut_off: bool = False  # from the store
    since_contact: int = 0  # until the daemon hears of the new era
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
    a: Daemon = Daemon()
    w: Daemon = Daemon()
    g: Daemon = Daemon()
    terms: int = 0  # of the new era
    granter_alive: bool = False
    t_is_owner: bool = False  # in the map of the new era
    witnessed: bool = False
    wait: int = 0  # until the granter of the new era may grant
    recorded_wait: int = 0
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
        yield from _contact_steps(state, rules)
        yield Step("the store comes back from a copy that names S", state._replace(drills=1))
    elif not state.terms:
        yield from _new_era_steps(state)
        yield from _take_over_steps(state, rules)
    else:
        yield from _granter_steps(state, rules)


def _tick(state: RestoredState) -> RestoredState:
    a = _aged(state.a, state.drills, STORE_TIMEOUT_TICKS + 1)
    return state._replace(
        a=a,
        a_active=state.a_active and a.since_contact <= STORE_TIMEOUT_TICKS,
        w=_aged(state.w, state.drills, STORE_TIMEOUT_TICKS),
        g=_aged(state.g, state.drills, STORE_TIMEOUT_TICKS),
        wait=max(0, state.wait - 1),
        s_ttl_left=max(0, state.s_ttl_left - 1),
        t_ttl_left=max(0, state.t_ttl_left - 1),
    )


def _aged(daemon: Daemon, drills: int, max_ticks: int) -> Daemon:
    if daemon.heard_of_era or not (daemon.cut_off or drills):
        return daemon
    return daemon._replace(since_contact=min(daemon.since_contact + 1, max_ticks))


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
        yield Step("A grants the keys to T", state._replace(t_ttl_left=GRANT_TTL_TICKS))
        if not state.a.knows_move:
            known = state.a._replace(knows_move=True)
            yield Step("A takes its new map", state._replace(a=known))
    elif not state.drills and not state.a.cut_off:
        stored = state._replace(
            stored=True,
            a=state.a._replace(knows_move=rules.granter_knows_own_moves),
            w=_after_move(state.w, rules),
            g=_after_move(state.g, rules),
        )
        yield Step("A stores that T owns the keys", stored)


def _after_move(daemon: Daemon, rules: RestoredRules) -> Daemon:
    """Return W or G after A has stored the move."""
    if not daemon.cut_off:
        return daemon._replace(knows_move=rules.watchers_hear_of_moves)
    in_touch = daemon.since_contact < STORE_TIMEOUT_TICKS
    return daemon._replace(knows_move=in_touch and rules.others_hear_of_moves)


def _contact_steps(state: RestoredState, rules: RestoredRules) -> Iterator[Step]:
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
    """Return a daemon that hears of the new era; it vouches no less and no more for that."""
    in_touch = daemon.since_contact < STORE_TIMEOUT_TICKS
    since_contact = 0 if in_touch else STORE_TIMEOUT_TICKS
    return daemon._replace(cut_off=False, since_contact=since_contact, heard_of_era=True)


def _is_witness(daemon: Daemon, rules: RestoredRules) -> bool:
    if daemon.restarted and rules.witness_started_before:
        return False
    return daemon.since_contact < STORE_TIMEOUT_TICKS or not rules.witness_was_in_touch


def _take_over_steps(state: RestoredState, rules: RestoredRules) -> Iterator[Step]:
    """Yield the take-overs of G by all replies that may arrive."""
    if not state.g.heard_of_era:
        return
    # Different replies may come to the same.
    outcomes: set[tuple[bool, bool]] = set()
    a_replies = list(_replies("A", state.a, rules)) if state.a_alive else [Reply()]
    for replies in product(a_replies, _replies("W", state.w, rules)):
        knows_move = state.g.knows_move or any(reply.has_move for reply in replies)
        witnessed = _is_witness(state.g, rules) or any(reply.is_witness for reply in replies)
        if (knows_move, witnessed) in outcomes:
            continue
        outcomes.add((knows_move, witnessed))
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
                w=NO_LONGER_ASKED,
                g=NO_LONGER_ASKED,
            ),
        )


def _replies(name: str, daemon: Daemon, rules: RestoredRules) -> Iterator[Reply]:
    """Yield the replies of a daemon, each datagram of which may be lost."""
    knows_others, knows_move = not daemon.restarted, daemon.knows_move
    named = knows_others + knows_move
    for has_count, has_others, has_move in product(
        (False, True) if _is_witness(daemon, rules) else (False,),
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
                state._replace(granted=True, t_ttl_left=GRANT_TTL_TICKS)
                if state.t_is_owner
                else state._replace(granted=True, s_ttl_left=GRANT_TTL_TICKS)
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
    if not rules.restored_once and state.drills == 1:
        yield Step(
            "the store comes back again, without the wait; "
            "H takes over, and a daemon started in between vouches for the map of G",
            state._replace(drills=2, terms=2, granter_alive=True, wait=0, recorded_wait=0),
        )
