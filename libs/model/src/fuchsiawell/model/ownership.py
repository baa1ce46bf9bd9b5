"""Specification of ownership at servers that check the fence: one owner of a shard at any instant.

One shard moves from server S to server T, by release or because S is lost. Daemon A leads S under
term 1, and B takes over under term 2; B leads T. Messages to S may be late or lost; grants of A
are overtaken by later ones. Pauses of A, B and S show as steps not taken while time goes on. That
a leader's right has lapsed before it is replaced is what the membership specification shows.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from fuchsiawell.model.checker import Spec, Step

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["MAY_START", "RUNS", "OwnershipRules", "ownership_spec"]

TTL = 2  # ticks for which a grant holds
WAIT = TTL + 1  # ticks after which every grant sent has lapsed
NONE = TTL + 1  # no message; TTL stands for any age at which a grant has lapsed
NOT_SENT = -1

RUNS = "two servers never run work of one shard at once"
MAY_START = "two servers never may start work of one shard"


@dataclass(frozen=True, slots=True)
class OwnershipRules:
    """Choose the rules; the defaults are the protocol, each change is a mutant or a limit."""

    checks_fence: bool = True  # the server refuses work that is not granted
    moves_after_release: bool = True
    loses_after_lapse: bool = True  # a server is given up only once its grants have lapsed
    stops_without_right: bool = True  # a leader whose right lapsed sends nothing
    lapses_from_reading: bool = True  # a grant's time runs from the server's clock reading in it
    reading_names_process: bool = True  # a server that restarted refuses readings from before
    numbers_calls: bool = True  # an older grant of the same term is refused
    gives_up_for_good: bool = True  # a leader that gave S up sends nothing under that term
    ends_work_at_lapse: bool = True  # work still running has no effect once its grant lapsed


class Leader(NamedTuple):
    """Hold what a leader of S did; ages in ticks."""

    grant: int = NONE  # age of its grant of the shard that is on its way
    empty: bool = False  # its grant without the shard is on its way
    release: bool = False  # its request to release is on its way
    work: bool = False
    waited: int = 0  # since it took over or last sent a grant
    gave_up: bool = False  # states that every grant lapsed and that it sends none


class Server(NamedTuple):
    """Hold the state of S; a restart forgets all of it."""

    term: int = 1
    granted: bool = True
    age: int = 0  # of the grants in force; TTL when they have lapsed
    dropped: bool = False  # a later grant of this term came without the shard
    running: bool = False
    restarted: bool = False


class World(NamedTuple):
    """Hold the whole state."""

    term: int = 1  # of S's leader, in the record
    moving: bool = False
    moved: bool = False  # T owns the shard
    right: bool = True  # A may act
    sees: int = 0  # what A knows of the record: 0 as it began, 1 moving, 2 not its any more
    released: bool = False
    a: Leader = Leader()
    b: Leader = Leader()
    s: Server = Server()
    t_granted: bool = False
    t_running: bool = False


def ownership_spec(rules: OwnershipRules) -> Spec:
    """Return the specification under `rules`."""
    return Spec(
        name="ownership, servers that check the fence",
        initial=World(),
        steps=lambda world: _steps(world, rules),
        properties={
            RUNS: lambda w: not (w.s.running and w.t_running),
            MAY_START: lambda w: not (_may_start(w.s) and w.t_granted),
        },
        goals={
            "T runs work after a release": lambda w: w.t_running and w.released,
            "T runs work after a loss": lambda w: w.t_running and not w.released,
            "S runs work under the second term": lambda w: w.s.running and w.s.term == 2,
        },
    )


def _may_start(s: Server) -> bool:
    return s.granted and s.age < TTL


def _steps(w: World, rules: OwnershipRules) -> Iterator[Step]:
    yield Step("a tick passes", _tick(w, rules))
    yield from _record_steps(w, rules)
    yield from _a_steps(w, rules)
    yield from _b_steps(w, rules)
    yield from _server_steps(w, rules)
    yield from _target_steps(w)


def _tick(w: World, rules: OwnershipRules) -> World:
    age = min(w.s.age + 1, TTL)
    running = w.s.running and (age < TTL or not rules.ends_work_at_lapse)
    s = w.s._replace(age=age, running=running)
    return w._replace(a=_older(w.a), b=_older(w.b), s=s)


def _older(leader: Leader) -> Leader:
    grant = NONE if leader.grant == NONE else min(leader.grant + 1, TTL)
    return leader._replace(grant=grant, waited=min(leader.waited + 1, WAIT))


def _record_steps(w: World, rules: OwnershipRules) -> Iterator[Step]:
    """Yield the writes of the controller; each is one compare-and-swap."""
    if w.right:
        yield Step("A's right to act lapses", w._replace(right=False))
    if w.moved:
        return
    if w.term == 1 and not w.right:
        yield Step("B takes over S", w._replace(term=2, b=Leader()))
    if not w.moving:
        yield Step("the shard is to move to T", w._replace(moving=True))
    if w.moving and (w.released or not rules.moves_after_release):
        yield Step("T is assigned the shard", w._replace(moved=True))
    if (w.a if w.term == 1 else w.b).gave_up:
        yield Step("S is lost and T is assigned the shard", w._replace(moved=True))


def _a_steps(w: World, rules: OwnershipRules) -> Iterator[Step]:
    seen = 2 if w.moved or w.term == 2 else int(w.moving)
    if seen > w.sees:
        yield Step("A reads the record", w._replace(sees=seen))
    if w.sees == 2 or not (w.right or not rules.stops_without_right):
        return
    for label, leader in _leader_steps(w.a, w.sees == 1, w.s.dropped and w.s.term == 1, rules):
        yield Step(f"A {label}", w._replace(a=leader))


def _b_steps(w: World, rules: OwnershipRules) -> Iterator[Step]:
    if w.term == 1 or w.moved:
        return
    for label, leader in _leader_steps(w.b, w.moving, w.s.dropped and w.s.term == 2, rules):
        yield Step(f"B {label}", w._replace(b=leader))


def _leader_steps(
    leader: Leader, moving: bool, dropped: bool, rules: OwnershipRules
) -> Iterator[tuple[str, Leader]]:
    if not leader.gave_up and (leader.waited >= WAIT or not rules.loses_after_lapse):
        yield "gives S up", leader._replace(gave_up=True)
    if leader.gave_up and rules.gives_up_for_good:
        return
    if not moving:
        yield "grants the shard to S", leader._replace(grant=0, waited=0)
        yield "sends work to S", leader._replace(work=True)
    else:
        yield "grants S everything but the shard", leader._replace(empty=True, waited=0)
    if moving and dropped:
        yield "asks S to release the shard", leader._replace(release=True)


def _server_steps(w: World, rules: OwnershipRules) -> Iterator[Step]:
    for label, after in _arrivals("A", w.a, w, rules):
        yield Step(label, after)
    for label, after in _arrivals("B", w.b, w, rules):
        yield Step(label, after)
    if w.s.running:
        yield Step("S ends its work", w._replace(s=w.s._replace(running=False)))
    if not w.s.restarted:
        yield Step("S restarts", _restarted(w, rules))


def _restarted(w: World, rules: OwnershipRules) -> World:
    fresh = w._replace(s=Server(0, False, TTL, False, False, True))
    if not rules.reading_names_process:
        return fresh
    # S will refuse the readings in grants that are on their way.
    return fresh._replace(a=w.a._replace(grant=NONE), b=w.b._replace(grant=NONE))


def _arrivals(
    name: str, leader: Leader, w: World, rules: OwnershipRules
) -> Iterator[tuple[str, World]]:
    term = 1 if name == "A" else 2
    if leader.grant != NONE:
        after = _put(w, name, leader._replace(grant=NONE))
        yield f"{name}'s grant of the shard reaches S", _granted(after, term, leader.grant, rules)
    if leader.empty:
        after = _put(w, name, leader._replace(empty=False))
        yield f"{name}'s grant without the shard reaches S", _granted(after, term, NONE, rules)
    if leader.release:
        after = _put(w, name, leader._replace(release=False))
        yield f"{name}'s request to release reaches S", _release(after, term)
    if leader.work:
        after = _put(w, name, leader._replace(work=False))
        yield f"{name}'s work reaches S", _work(after, term, rules)


def _put(w: World, name: str, leader: Leader) -> World:
    return w._replace(a=leader) if name == "A" else w._replace(b=leader)


def _granted(w: World, term: int, age: int, rules: OwnershipRules) -> World:
    """Let S take a grant with a reading of `age`, or one without the shard where it is NONE."""
    s = w.s
    if term < s.term:
        return w
    dropped = s.dropped and term == s.term
    if age == NONE:
        return w._replace(s=s._replace(term=term, granted=False, dropped=True))
    if dropped and rules.numbers_calls:
        return w
    held = age if rules.lapses_from_reading else 0
    return w._replace(s=s._replace(term=term, granted=True, age=held, dropped=dropped))


def _release(w: World, term: int) -> World:
    if term < w.s.term or w.s.running:
        return w
    return w._replace(s=w.s._replace(granted=False), released=True)


def _work(w: World, term: int, rules: OwnershipRules) -> World:
    allowed = term == w.s.term and _may_start(w.s)
    if allowed or not rules.checks_fence:
        return w._replace(s=w.s._replace(running=True))
    return w


def _target_steps(w: World) -> Iterator[Step]:
    if w.moved and not w.t_granted:
        yield Step("B grants the shard to T", w._replace(t_granted=True))
    if w.t_granted:
        yield Step("T starts work", w._replace(t_running=True))  # and goes on, the worst case
