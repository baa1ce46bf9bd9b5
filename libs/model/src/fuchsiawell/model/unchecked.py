"""Specification of ownership at servers that do not check the fence: time does the fencing.

One shard moves from server S to server T. Daemon A leads S, and B takes over once A's right has
lapsed; B leads T. S runs whatever reaches it, and drops work whose deadline has passed. Messages
reach S within MOST_DELAY ticks or never, unless the rules say otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from fuchsiawell.model.checker import Spec, Step

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["ONE_RUNS", "UncheckedRules", "unchecked_spec"]

DEADLINE = 2  # ticks that a request may run, counted by the server from its arrival
MOST_DELAY = 1  # ticks that a message may take, the pause between check and send included
SETTLE = DEADLINE + MOST_DELAY + 1  # ticks after which nothing sent can run
NONE = MOST_DELAY + 1

ONE_RUNS = "two servers never run work of one shard at once"


@dataclass(frozen=True, slots=True)
class UncheckedRules:
    """Choose the rules; the defaults are the protocol, each change is a mutant or a limit."""

    waits: bool = True  # for the longest deadline before the shard goes to another server
    stops_without_right: bool = True
    enforces_deadline: bool = True  # the server drops work whose deadline has passed
    release_waits_for_answers: bool = True
    delay_is_bounded: bool = True


class World(NamedTuple):
    """Hold the whole state; ages and waits in ticks."""

    taken_over: bool = False  # B leads S
    moving: bool = False
    moved: bool = False
    right: bool = True  # A may act
    knows: bool = False  # A knows that the shard is to move or that it was replaced
    message: int = NONE  # age of the work on its way to S
    left: int = 0  # ticks that S may still run
    open: bool = False  # the present leader awaits an answer
    waited: int = SETTLE  # since the present leader took over or last sent
    t_running: bool = False


def unchecked_spec(rules: UncheckedRules) -> Spec:
    """Return the specification under `rules`."""
    return Spec(
        name="ownership, servers that do not check the fence",
        initial=World(),
        steps=lambda world: _steps(world, rules),
        properties={ONE_RUNS: lambda w: not (w.left and w.t_running)},
        goals={
            "T runs work under A": lambda w: w.t_running and not w.taken_over,
            "T runs work under B": lambda w: w.t_running and w.taken_over,
        },
    )


def _steps(w: World, rules: UncheckedRules) -> Iterator[Step]:
    yield Step("a tick passes", _tick(w, rules))
    if w.right:
        yield Step("A's right to act lapses", w._replace(right=False))
    if not w.right and not w.taken_over and not w.moved:
        yield Step("B takes over S", w._replace(taken_over=True, open=False, waited=0))
    if not w.moving and not w.moved:
        yield Step("the shard is to move to T", w._replace(moving=True))
    if (w.moving or w.taken_over or w.moved) and not w.knows:
        yield Step("A reads the record", w._replace(knows=True))
    yield from _leader_steps(w, rules)
    if w.message != NONE:
        arrived = w._replace(message=NONE, left=DEADLINE)
        yield Step("work reaches S, which starts it", arrived)
    if w.left:
        awaited = w.open and w.message != NONE
        yield Step("S ends its work and answers", w._replace(left=0, open=awaited))
    if w.moved:
        yield Step("T starts work", w._replace(t_running=True))  # and goes on, the worst case


def _tick(w: World, rules: UncheckedRules) -> World:
    message = w.message
    if message != NONE:
        message = min(message + 1, NONE if rules.delay_is_bounded else MOST_DELAY)
    left = w.left
    if left and (rules.enforces_deadline or left > 1):
        left -= 1
    return w._replace(message=message, left=left, waited=min(w.waited + 1, SETTLE))


def _leader_steps(w: World, rules: UncheckedRules) -> Iterator[Step]:
    if not w.knows and (w.right or not rules.stops_without_right) and w.message == NONE:
        # Once replaced, A's sending is no longer counted by the present leader.
        counted = w if w.taken_over else w._replace(open=True, waited=0)
        yield Step("A sends work to S", counted._replace(message=0))
    if w.taken_over and not w.moving and not w.moved and w.message == NONE:
        yield Step("B sends work to S", w._replace(message=0, open=True, waited=0))
    if w.moved or not (w.right or w.taken_over):
        return
    settled = w.waited >= SETTLE or not rules.waits
    stopped = w.knows or w.taken_over
    if settled and stopped and not w.open:
        yield Step("S is lost and T is assigned the shard", w._replace(moved=True))
    if w.moving and stopped and _may_release(w, rules):
        yield Step("S's leader releases the shard to T", w._replace(moved=True))


def _may_release(w: World, rules: UncheckedRules) -> bool:
    if not rules.release_waits_for_answers:
        return True
    if w.taken_over:
        return w.waited >= SETTLE
    return not w.open or w.waited >= SETTLE
