"""Specification of never-repeat requests: at most one run of an id, and "not run" is true.

One id. The caller sends up to two copies to daemon A, which leads the key's server under term 1,
and one to daemon B, which takes over under term 2 after a loss or a clean hand-over. Messages and
answers may be late or lost, the store may be out, writes whose answer was lost may take effect
later, and A may pause at any step and go on after it was replaced.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, auto, unique
from typing import TYPE_CHECKING, NamedTuple

from fuchsiawell.model.checker import Spec, Step

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["AT_MOST_ONCE", "NOT_RUN_IS_TRUE", "Ids", "RequestRules", "request_spec"]

AT_MOST_ONCE = "an id runs at most once"
NOT_RUN_IS_TRUE = "what was told as not run did not run and never will"

COPIES_AT_A = 2
B_COPY = 4  # bit of the copy at B; copies 1 and 2 at A have bits 1 and 2


@unique
class Ids(Enum):
    """Say what keeps an id from running twice."""

    JOURNALED = auto()  # free-form: the intent is durable before the request is sent
    UNJOURNALED = auto()  # free-form: runs on in an outage, as the leader declared beforehand
    MINTED = auto()  # the id tells the term; the leader's memory does the rest


@dataclass(frozen=True, slots=True)
class RequestRules:
    """Choose the rules; the defaults are the protocol, each change is a mutant."""

    ids: Ids = Ids.JOURNALED
    server_checks: bool = True
    intent_before_send: bool = True
    remembers: bool = True  # the leader keeps what was sent and what was answered
    waits_for_new_intent: bool = True  # after a retraction, the earlier intent does not count
    reads_journal: bool = True
    reads_after_fence: bool = True
    honours_declaration: bool = True
    honours_term_of_id: bool = True
    closes_on_hand_over: bool = True  # what was not sent by then is not sent any more
    unknown_stays_unknown: bool = True  # a request without an answer is never told as not run
    not_run_needs_right: bool = True  # who may have been replaced says unknown, as of any copy


class Stage(IntEnum):
    """Say how far A got with the id."""

    NONE = 0
    RECEIVED = 1
    INTENT = 2
    SENT = 3
    ANSWERED = 4
    UNKNOWN = 5


class Write(IntEnum):
    """Say what A's write of its journal is at."""

    NONE = 0
    WITHOUT = 1  # on its way, without the id
    WITH = 2
    KEPT_WITHOUT = 3  # in the store, the answer on its way
    KEPT_WITH = 4


class Reply(IntEnum):
    """Say what the server's reply on its way to A is."""

    NONE = 0
    ANSWER = 1
    REFUSAL = 2


class Take(IntEnum):
    """Say how far B's take-over is."""

    NONE = 0
    BEGUN = 1
    READ_EARLY = 2  # journals read before the fence, by a mutant
    FENCED = 3
    OPEN = 4


class Run(NamedTuple):
    """Hold the whole state."""

    right: bool = True  # A may act
    a: Stage = Stage.NONE
    copies: int = 0  # that A took
    entry: bool = False  # A's next journal write will hold the id
    write: Write = Write.NONE
    ghost: Write = Write.NONE  # an earlier write, given up, that may still take effect
    journal: bool = False  # A's journal in the store holds the id
    store: bool = True  # the store is up
    a_message: int = 0  # copy on its way to the server
    reply: Reply = Reply.NONE
    term: int = 1  # that the server has seen
    handed: bool = False
    take: Take = Take.NONE
    found: bool = False  # B knows that the id may have run
    b_message: bool = False
    b_copies: int = 0
    runs: int = 0
    ran: int = 0  # copies that ran, one bit each
    told_not_run: int = 0  # copies whose callers were told so, one bit each
    lied: bool = False  # a caller was told so after some copy had run


def request_spec(rules: RequestRules) -> Spec:
    """Return the specification under `rules`."""
    kind = rules.ids.name.lower()
    checks = "that check" if rules.server_checks else "that do not check"
    return Spec(
        name=f"requests, {kind} ids, servers {checks}",
        initial=Run(),
        steps=lambda run: _steps(run, rules),
        properties={
            AT_MOST_ONCE: lambda run: run.runs <= 1,
            NOT_RUN_IS_TRUE: lambda run: not run.ran & run.told_not_run and not run.lied,
        },
        goals=_goals(rules),
    )


def _goals(rules: RequestRules) -> dict[str, Callable[[Run], bool]]:
    goals: dict[str, Callable[[Run], bool]] = {
        "A passes an answer on": lambda run: run.a is Stage.ANSWERED,
        "A's second copy runs": lambda run: bool(run.ran & 2),
        "B finds that the id may have run": lambda run: run.found and run.take is Take.OPEN,
    }
    if rules.ids is Ids.JOURNALED:
        goals["B runs what A did not"] = lambda run: bool(run.ran & B_COPY)
    return goals


def _steps(run: Run, rules: RequestRules) -> Iterator[Step]:
    yield from _a_steps(run, rules)
    yield from _journal_steps(run)
    yield from _server_steps(run, rules)
    yield from _take_over_steps(run, rules)
    yield from _b_steps(run, rules)


def _a_steps(run: Run, rules: RequestRules) -> Iterator[Step]:
    open_scope = not run.handed
    if run.a is Stage.NONE and run.copies < COPIES_AT_A and open_scope:
        taken = run._replace(a=Stage.RECEIVED, copies=run.copies + 1, entry=_journals(rules))
        trusts_old = run.journal and not rules.waits_for_new_intent
        yield Step("A takes a copy", taken._replace(a=Stage.INTENT) if trusts_old else taken)
    if not rules.remembers and run.a in (Stage.ANSWERED, Stage.UNKNOWN):
        yield Step("A forgets the id", run._replace(a=Stage.NONE))
    if run.a in (Stage.RECEIVED, Stage.INTENT):
        yield Step("A refuses the copy", _a_refuses(run, rules))
        if _may_send(run, rules) and (open_scope or not rules.closes_on_hand_over):
            sent = run._replace(a=Stage.SENT, a_message=run.copies)
            yield Step("A sends the request", sent)
    if run.a is Stage.SENT:
        if rules.unknown_stays_unknown:
            yield Step("A gives up as unknown", run._replace(a=Stage.UNKNOWN))
        else:
            yield Step("A gives up as not run", _a_tells_not_run(run))
    if run.reply is Reply.ANSWER:
        ended = run._replace(a=Stage.ANSWERED, reply=Reply.NONE)
        yield Step("A passes the answer on", ended)
    if run.reply is Reply.REFUSAL:
        told = _a_refuses(run, rules) if run.a is Stage.SENT else run
        yield Step("A hears the server's refusal", told._replace(reply=Reply.NONE))
    if run.reply is not Reply.NONE:
        yield Step("the reply is lost", run._replace(reply=Reply.NONE))


def _journals(rules: RequestRules) -> bool:
    return rules.ids is not Ids.MINTED


def _may_send(run: Run, rules: RequestRules) -> bool:
    if not rules.server_checks and not run.right:
        return False
    needs_intent = rules.ids is Ids.JOURNALED and rules.intent_before_send
    return run.a is Stage.INTENT or not needs_intent


def _a_refuses(run: Run, rules: RequestRules) -> Run:
    """End A's latest copy, which did not run: as not run if A can vouch for the others too."""
    if rules.not_run_needs_right and (run.handed or not run.right):
        return run._replace(a=Stage.UNKNOWN)
    return _a_tells_not_run(run)


def _a_tells_not_run(run: Run) -> Run:
    """Tell the caller of A's latest copy, forget it, and retract its intent."""
    told = run.told_not_run | run.copies
    lied = run.lied or run.runs > 0
    return run._replace(a=Stage.NONE, entry=False, told_not_run=told, lied=lied)


def _journal_steps(run: Run) -> Iterator[Step]:
    """Yield A's writes of its journal: one at a time, by compare-and-swap."""
    if run.store:
        yield Step("the store goes out", run._replace(store=False))
    else:
        yield Step("the store comes back", run._replace(store=True))
    write = run.write
    is_due = run.entry is not run.journal or (run.entry and run.a is Stage.RECEIVED)
    if write is Write.NONE and is_due:
        begun = run._replace(write=Write.WITH if run.entry else Write.WITHOUT)
        yield Step("A writes its journal", begun)
    if write in (Write.WITH, Write.WITHOUT):
        yield Step("A gives the write up", run._replace(write=Write.NONE, ghost=write))
        if run.store:
            kept = Write.KEPT_WITH if write is Write.WITH else Write.KEPT_WITHOUT
            after = run._replace(journal=write is Write.WITH, write=kept, ghost=Write.NONE)
            yield Step("the store keeps A's journal", after)
    if write in (Write.KEPT_WITH, Write.KEPT_WITHOUT):
        yield Step("the store's answer is lost", run._replace(write=Write.NONE))
        durable = write is Write.KEPT_WITH and run.a is Stage.RECEIVED and run.entry
        stage = Stage.INTENT if durable else run.a
        yield Step("A hears that its journal is kept", run._replace(write=Write.NONE, a=stage))
    if run.ghost is not Write.NONE and run.store:
        after = run._replace(journal=run.ghost is Write.WITH, ghost=Write.NONE)
        if write not in (Write.KEPT_WITH, Write.KEPT_WITHOUT):
            yield Step("a write that A gave up takes effect", after)


def _server_steps(run: Run, rules: RequestRules) -> Iterator[Step]:
    if run.a_message:
        gone = run._replace(a_message=0)
        yield Step("A's request is lost", gone)
        if rules.server_checks and run.term > 1:
            yield Step("the server refuses A's request", gone._replace(reply=Reply.REFUSAL))
        else:
            ran = _ran(gone, run.a_message)._replace(reply=Reply.ANSWER)
            yield Step(f"the server runs A's copy {run.a_message}", ran)
    if run.b_message:
        gone = run._replace(b_message=False)
        yield Step("B's request is lost", gone)
        yield Step("the server runs B's copy", _ran(gone, B_COPY))


def _ran(run: Run, copy: int) -> Run:
    return run._replace(runs=min(run.runs + 1, 2), ran=run.ran | copy)


def _take_over_steps(run: Run, rules: RequestRules) -> Iterator[Step]:
    if run.right:
        yield Step("A's right to act lapses", run._replace(right=False))
    if run.take is Take.NONE and not run.right:
        yield Step("B takes over after a loss", run._replace(take=Take.BEGUN))
    if run.take is Take.NONE and run.right and not run.handed:
        known = run.a in (Stage.SENT, Stage.ANSWERED, Stage.UNKNOWN)
        yield Step("A hands over to B", run._replace(handed=True, found=known))
    if run.handed and run.take is Take.NONE:
        yield Step("B takes over what A handed over", run._replace(take=Take.OPEN, term=2))
    if run.take in (Take.BEGUN, Take.READ_EARLY) and _is_stopped(run, rules):
        early = run.take is Take.READ_EARLY
        after = run._replace(term=2, take=Take.OPEN if early else Take.FENCED)
        yield Step("B fences A off", after)
    reads_at = Take.FENCED if rules.reads_after_fence else Take.BEGUN
    if run.take is reads_at and run.store:
        next_take = Take.OPEN if rules.reads_after_fence else Take.READ_EARLY
        found = (run.journal and rules.reads_journal) or _may_have_run(rules)
        yield Step("B reads A's journal", run._replace(take=next_take, found=found))


def _is_stopped(run: Run, rules: RequestRules) -> bool:
    """Tell whether A starts nothing after this; what is on its way had its intent written."""
    return rules.server_checks or not run.right


def _may_have_run(rules: RequestRules) -> bool:
    match rules.ids:
        case Ids.JOURNALED:
            return False
        case Ids.UNJOURNALED:
            return rules.honours_declaration
        case Ids.MINTED:
            return rules.honours_term_of_id


def _b_steps(run: Run, rules: RequestRules) -> Iterator[Step]:
    if run.take is not Take.OPEN or run.found or run.b_copies:
        return
    taken = run._replace(b_copies=1)
    yield Step("B sends the request", taken._replace(b_message=True))
    told = taken._replace(told_not_run=run.told_not_run | B_COPY, lied=run.lied or run.runs > 0)
    yield Step("B refuses the copy as not run", told)
