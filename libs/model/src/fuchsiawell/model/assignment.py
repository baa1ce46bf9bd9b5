"""Specification of decisions in the store: an assignment told as made was made, and stays.

Two controllers write one record by compare-and-swap, at most two writes each. Calls may be refused
while the store is out, answers may be lost after the write took effect, and a write whose answer
was lost may take effect later.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, unique
from typing import TYPE_CHECKING, NamedTuple

from fuchsiawell.model.checker import Spec, Step

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["MADE_STAYS", "AssignmentRules", "assignment_spec"]

MOST_WRITES = 2  # decisions of one controller
MADE_STAYS = "an assignment told as made is in the record's history"


@dataclass(frozen=True, slots=True)
class AssignmentRules:
    """Choose the rules; the defaults are the protocol, each change is a mutant."""

    confirms_before_made: bool = True
    compares_revision: bool = True  # the write takes effect only at the revision that was read
    compares_content: bool = True  # a lost answer counts as made only if the record is the writer's


@unique
class Call(IntEnum):
    """Say what a controller's write is at."""

    IDLE = 0
    SENT = 1  # on its way to the store
    KEPT = 2  # it took effect, the answer on its way
    CONFLICT = 3  # another write came first, the answer on its way
    UNSURE = 4  # the answer was lost


class Controller(NamedTuple):
    """Hold one controller; decisions are numbered from 1."""

    view: int = 0  # revision that it read
    decision: int = 0
    call: Call = Call.IDLE
    made: frozenset[tuple[int, int]] = frozenset()  # (revision, decision) told as made


class Cell(NamedTuple):
    """Hold the whole state; `history` has the writer and decision of each revision."""

    history: tuple[tuple[int, int], ...] = ()
    up: bool = True
    first: Controller = Controller()
    second: Controller = Controller()
    late: tuple[int, int, int] | None = None  # (writer, decision, view) of a write given up


def assignment_spec(rules: AssignmentRules) -> Spec:
    """Return the specification under `rules`."""
    return Spec(
        name="assignment in the store",
        initial=Cell(),
        steps=lambda cell: _steps(cell, rules),
        properties={MADE_STAYS: _made_stays},
        goals={
            "both controllers made a decision": lambda c: bool(c.first.made and c.second.made),
            "a lost answer was resolved as made": lambda c: c.first.call is Call.IDLE
            and len(c.first.made) == MOST_WRITES,
        },
    )


def _made_stays(cell: Cell) -> bool:
    return all(
        revision <= len(cell.history) and cell.history[revision - 1] == (number, decision)
        for number, controller in ((1, cell.first), (2, cell.second))
        for revision, decision in controller.made
    )


def _steps(cell: Cell, rules: AssignmentRules) -> Iterator[Step]:
    yield Step("the store goes out or comes back", cell._replace(up=not cell.up))
    yield from _controller_steps(1, cell.first, cell, rules)
    yield from _controller_steps(2, cell.second, cell, rules)
    if cell.late is not None and cell.up:
        writer, decision, view = cell.late
        after = cell._replace(late=None)
        if view == len(cell.history) or not rules.compares_revision:
            after = after._replace(history=(*cell.history, (writer, decision)))
        yield Step(f"a write that controller {writer} gave up reaches the store", after)


def _controller_steps(
    number: int, c: Controller, cell: Cell, rules: AssignmentRules
) -> Iterator[Step]:
    def put(controller: Controller) -> Cell:
        return _put(cell, number, controller)

    who = f"controller {number}"
    match c.call:
        case Call.IDLE:
            if cell.up and c.view != len(cell.history):
                yield Step(f"{who} reads the record", put(c._replace(view=len(cell.history))))
            if c.decision < MOST_WRITES:
                sent = c._replace(decision=c.decision + 1, call=Call.SENT)
                if not rules.confirms_before_made:
                    sent = _tell_made(sent)
                yield Step(f"{who} writes decision {sent.decision}", put(sent))
        case Call.SENT:
            yield Step(f"{who}'s write is refused", put(c._replace(call=Call.IDLE)))
            if cell.late is None:
                late = (number, c.decision, c.view)
                unsure = c._replace(call=Call.UNSURE)
                yield Step(f"{who} hears nothing of its write", put(unsure)._replace(late=late))
            if cell.up:
                yield Step(f"{who}'s write reaches the store", _write(number, c, cell, rules))
        case Call.KEPT:
            yield Step(f"{who} hears that it is kept", put(_tell_made(c)._replace(call=Call.IDLE)))
            yield Step(f"the answer to {who} is lost", put(c._replace(call=Call.UNSURE)))
        case Call.CONFLICT:
            yield Step(f"{who} hears of a conflict", put(c._replace(call=Call.IDLE)))
            yield Step(f"the answer to {who} is lost", put(c._replace(call=Call.UNSURE)))
        case Call.UNSURE if cell.up:
            yield Step(f"{who} reads again", put(_resolve(number, c, cell, rules)))


def _put(cell: Cell, number: int, controller: Controller) -> Cell:
    return cell._replace(first=controller) if number == 1 else cell._replace(second=controller)


def _write(number: int, c: Controller, cell: Cell, rules: AssignmentRules) -> Cell:
    if c.view != len(cell.history) and rules.compares_revision:
        return _put(cell, number, c._replace(call=Call.CONFLICT))
    history = (*cell.history, (number, c.decision))
    return _put(cell, number, c._replace(call=Call.KEPT))._replace(history=history)


def _tell_made(c: Controller) -> Controller:
    return c._replace(made=c.made | {(c.view + 1, c.decision)}, view=c.view + 1)


def _resolve(number: int, c: Controller, cell: Cell, rules: AssignmentRules) -> Controller:
    """Decide after a lost answer: made only if the record is exactly this write."""
    revision = len(cell.history)
    if revision == c.view + 1 and (
        cell.history[-1] == (number, c.decision) or not rules.compares_content
    ):
        return _tell_made(c)._replace(call=Call.IDLE)
    return c._replace(view=revision, call=Call.IDLE)
