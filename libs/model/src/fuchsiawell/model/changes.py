"""Specification of member set changes: old and new majorities never judge a member apart.

A cell begins with X, Y and Z; V and W may join and members other than X may be removed. Each member
holds one version of the member set, learns later ones from the store or from peers, and may restart
and forget. At any instant X may act if a majority of the set that it holds would echo it, and X may
be declared lost if a majority of the newest set holds that set and is deaf to X. Who echoes X is
not deaf to it. The lapse of time is in the specification of membership, and left out here; so is a
restart of X, after which it leads nothing until the record names its new incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from fuchsiawell.model.checker import Spec, Step

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["NOT_APART", "ChangeRules", "change_spec"]

NOT_APART = "no member acts by an older set while a majority of the newest declares it lost"

T = TypeVar("T")

X, Y, Z, W, V = range(5)
NAMES = "XYZWV"
FIRST = frozenset({X, Y, Z})
MOST_CHANGES = 3
MOST_RESTARTS = 1


@dataclass(frozen=True, slots=True)
class ChangeRules:
    """Choose the rules; the defaults are the protocol, each change is a mutant."""

    one_at_a_time: bool = True
    waits_for_holders: bool = True  # the next change waits until a majority holds the last
    refuses_older: bool = True  # nobody echoes a daemon that holds an older set than its own
    echoes_once_confirmed: bool = True  # nobody echoes before the store told it a set


class Cell(NamedTuple):
    """Hold the whole state; versions count from 0."""

    sets: tuple[frozenset[int], ...] = (FIRST,)
    held: tuple[int, ...] = (0, 0, 0, 0, 0)  # version by daemon
    confirmed: tuple[bool, ...] = (True,) * 5  # the store told this process a set
    restarts: int = 0


def change_spec(rules: ChangeRules) -> Spec:
    """Return the specification under `rules`."""
    return Spec(
        name="membership, changes of the set",
        initial=Cell(),
        steps=lambda cell: _steps(cell, rules),
        properties={NOT_APART: lambda cell: not (_may_act(cell, rules) and _may_be_lost(cell))},
        goals={
            "every change was made": lambda cell: len(cell.sets) > MOST_CHANGES,
            "X is cut off two changes behind": lambda cell: len(cell.sets) - cell.held[X] > 2
            and not _may_act(cell, rules),
        },
    )


def _may_act(cell: Cell, rules: ChangeRules) -> bool:
    """Tell whether a majority of the set that X holds would echo it, the newest set's apart."""
    newest, held = len(cell.sets) - 1, cell.held[X]
    if held == newest:
        return False  # majorities of one set meet
    members = cell.sets[held]
    echoing = {X} | {m for m in members - {X} if _would_echo(cell, m, rules)}
    return 2 * len(echoing) > len(members)


def _would_echo(cell: Cell, member: int, rules: ChangeRules) -> bool:
    """Tell whether the member may echo X; one that holds the newest set is counted as deaf."""
    if rules.echoes_once_confirmed and not cell.confirmed[member]:
        return False
    if cell.held[member] == len(cell.sets) - 1:
        return False
    return cell.held[member] <= cell.held[X] or not rules.refuses_older


def _may_be_lost(cell: Cell) -> bool:
    newest = len(cell.sets) - 1
    members = cell.sets[newest]
    deaf = [member for member in members - {X} if cell.held[member] == newest]
    return X in members and 2 * len(deaf) > len(members)


def _steps(cell: Cell, rules: ChangeRules) -> Iterator[Step]:
    newest = len(cell.sets) - 1
    if newest < MOST_CHANGES and (_is_held(cell) or not rules.waits_for_holders):
        for members in _next_sets(cell.sets[newest], rules):
            names = ", ".join(NAMES[member] for member in sorted(members))
            yield Step(f"the members are now {names}", cell._replace(sets=(*cell.sets, members)))
    for daemon in range(5):
        yield from _learning(cell, daemon, newest)
        if cell.restarts < MOST_RESTARTS and daemon != X:
            yield Step(f"{NAMES[daemon]} restarts", _restarted(cell, daemon))


def _is_held(cell: Cell) -> bool:
    newest = len(cell.sets) - 1
    members = cell.sets[newest]
    return 2 * sum(cell.held[member] == newest for member in members) > len(members)


def _next_sets(members: frozenset[int], rules: ChangeRules) -> Iterator[frozenset[int]]:
    joining = [member for member in (W, V) if member not in members]
    leaving = sorted(members - {X})
    yield from (members | {member} for member in joining)
    yield from (members - {member} for member in leaving)
    if not rules.one_at_a_time:
        yield from ((members | {new}) - {old} for new in joining for old in leaving)


def _learning(cell: Cell, daemon: int, newest: int) -> Iterator[Step]:
    if cell.held[daemon] == newest and cell.confirmed[daemon]:
        return
    told = cell._replace(
        held=_put(cell.held, daemon, newest), confirmed=_put(cell.confirmed, daemon, True)
    )
    yield Step(f"the store tells {NAMES[daemon]} version {newest}", told)
    for version in sorted({v for v in cell.held if v > cell.held[daemon]}):
        after = cell._replace(held=_put(cell.held, daemon, version))
        yield Step(f"a peer tells {NAMES[daemon]} version {version}", after)


def _restarted(cell: Cell, daemon: int) -> Cell:
    """Forget; the first record that a peer tells may be the oldest one."""
    return cell._replace(
        held=_put(cell.held, daemon, 0),
        confirmed=_put(cell.confirmed, daemon, False),
        restarts=cell.restarts + 1,
    )


def _put(values: tuple[T, ...], at: int, value: T) -> tuple[T, ...]:
    return (*values[:at], value, *values[at + 1 :])
