"""Specification of majority-echo membership: a member that is declared lost has stopped acting.

One cell of three members. X leads something; Y and Z hear its heartbeats and echo them. Y reports
that X is silent, and Z decides. Time goes in ticks of equal length on all hosts. Messages may be
late or lost, one of a kind is on its way at a time; Y and Z may restart; any process may pause,
which shows as steps not taken.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto, unique
from typing import TYPE_CHECKING, NamedTuple

from fuchsiawell.model.checker import Spec, Step

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["LOST_HAS_STOPPED", "Evidence", "MembershipRules", "membership_spec"]

LOST_HAS_STOPPED = "a member that is declared lost does not act"

RIGHT = 2  # ticks for which an echo gives the right to act, counted from the heartbeat's sending
SILENT = 3  # ticks of silence that count as loss; RIGHT and a tick as margin
LATE = 2 * SILENT  # ages beyond this are alike
NONE = RIGHT + 1  # no message; RIGHT stands for any age that is too old
NEVER = SILENT  # age of a report that was not made or no longer counts


@unique
class Evidence(Enum):
    """Say how reports of silence add up to a loss."""

    COMMON_WINDOW = auto()  # a majority heard nothing through one and the same window
    RECENT_REPORTS = auto()  # a majority reported silence within SILENT, whenever it began


@dataclass(frozen=True, slots=True)
class MembershipRules:
    """Choose the rules; the defaults are the protocol, each change is a mutant."""

    evidence: Evidence = Evidence.COMMON_WINDOW
    lapse_is_final: bool = True  # an incarnation whose right lapsed never acts again
    reporter_is_mute: bool = True  # with RECENT_REPORTS, who reported X does not echo it for a time
    starts_mute: bool = True  # with RECENT_REPORTS, a member echoes nobody at first
    silent: int = SILENT


class Witness(NamedTuple):
    """Hold what Y or Z knows of X; ages in ticks."""

    link: int = NONE  # age of X's heartbeat that is on its way here
    newest: int = 0  # age of the newest heartbeat received
    silence: int = 0  # since the last receipt
    echo: int = NONE  # age of the heartbeat whose echo is on its way to X
    echoed: int = 0  # age of the newest heartbeat that X knows to be echoed
    report: int = NEVER  # age of the last report of silence
    mute: int = 0  # ticks for which nothing is echoed
    restarted: bool = False


class Cell(NamedTuple):
    """Hold the whole state."""

    acting: bool = True  # X acts under the incarnation that leads
    lapsed: bool = False
    lost: bool = False  # Z declared X lost
    y: Witness = Witness()
    z: Witness = Witness()


def membership_spec(rules: MembershipRules) -> Spec:
    """Return the specification under `rules`."""
    evidence = rules.evidence.name.lower().replace("_", " ")
    return Spec(
        name=f"membership, {evidence}",
        initial=Cell(),
        steps=lambda cell: _steps(cell, rules),
        properties={LOST_HAS_STOPPED: lambda cell: not (cell.lost and cell.acting)},
        goals={
            "X is declared lost": lambda cell: cell.lost,
            "X acts after one witness went silent": lambda cell: cell.acting
            and cell.z.silence >= SILENT,
        },
    )


def _steps(cell: Cell, rules: MembershipRules) -> Iterator[Step]:
    if cell.lost:
        return  # nothing that follows can make X's old incarnation act again, unless it acts now
    yield Step("a tick passes", _tick(cell, rules))
    for label, y in _witness_steps(cell.y, cell, rules):
        yield Step(label.format("Y"), _settle(cell._replace(y=y), rules))
    for label, z in _witness_steps(cell.z, cell, rules):
        yield Step(label.format("Z"), _settle(cell._replace(z=z), rules))
    if cell.y.silence >= rules.silent:
        yield Step("Y reports X silent", cell._replace(y=_reporting(cell.y, rules)))
    if _is_lost(cell, rules):
        yield Step("Z declares X lost", cell._replace(lost=True))


def _tick(cell: Cell, rules: MembershipRules) -> Cell:
    return _settle(cell._replace(y=_older(cell.y), z=_older(cell.z)), rules)


def _settle(cell: Cell, rules: MembershipRules) -> Cell:
    """Let X's right follow from the echoes it knows."""
    has_right = min(cell.y.echoed, cell.z.echoed) < RIGHT
    lapsed = cell.lapsed or not has_right
    if lapsed and rules.lapse_is_final:
        return Cell(False, True, cell.lost, _forgotten(cell.y), _forgotten(cell.z))
    return cell._replace(acting=has_right, lapsed=lapsed)


def _forgotten(w: Witness) -> Witness:
    """Leave out what can no longer make X act, so that fewer states differ."""
    return w._replace(link=NONE, newest=RIGHT, echo=NONE, echoed=RIGHT, mute=0)


def _older(w: Witness) -> Witness:
    return w._replace(
        link=_message_older(w.link),
        newest=min(w.newest + 1, RIGHT),
        silence=min(w.silence + 1, LATE),
        echo=NONE if w.echo >= RIGHT - 1 else w.echo + 1,  # an older one changes nothing
        echoed=min(w.echoed + 1, RIGHT),
        report=min(w.report + 1, NEVER),
        mute=max(w.mute - 1, 0),
    )


def _message_older(age: int) -> int:
    return NONE if age == NONE else min(age + 1, RIGHT)


def _witness_steps(w: Witness, cell: Cell, rules: MembershipRules) -> Iterator[tuple[str, Witness]]:
    if cell.acting or not rules.lapse_is_final:
        yield "X sends a heartbeat to {}", w._replace(link=0)
    if w.link != NONE:
        after = w._replace(link=NONE, newest=min(w.newest, w.link), silence=0)
        yield f"{{}} hears X's heartbeat of {w.link} ticks ago", after
    if w.echo != NONE:
        after = w._replace(echo=NONE, echoed=min(w.echoed, w.echo))
        yield f"X hears {{}}'s echo of its heartbeat of {w.echo} ticks ago", after
    if w.newest < RIGHT and w.mute == 0:
        yield "{} echoes X", w._replace(echo=w.newest)
    if not w.restarted:
        after = w._replace(newest=RIGHT, silence=0, mute=_start_mute(rules), restarted=True)
        yield "{} restarts", after


def _reporting(w: Witness, rules: MembershipRules) -> Witness:
    mute = SILENT if rules.reporter_is_mute else w.mute
    return w._replace(report=0, mute=mute if rules.evidence is Evidence.RECENT_REPORTS else 0)


def _start_mute(rules: MembershipRules) -> int:
    """Return how long a restarted member, which forgot its report, echoes nobody."""
    needed = rules.evidence is Evidence.RECENT_REPORTS and rules.starts_mute
    return SILENT if needed else 0


def _is_lost(cell: Cell, rules: MembershipRules) -> bool:
    if cell.y.report >= SILENT:
        return False
    if rules.evidence is Evidence.COMMON_WINDOW:
        # Both windows end with Y's report, and Z's began before it by at least the silence.
        return cell.z.silence >= rules.silent + cell.y.report
    return cell.z.silence >= rules.silent
