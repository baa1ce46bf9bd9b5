"""All specifications, the mutants that must be caught, and the limits that are known."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiawell.model.assignment import MADE_STAYS, AssignmentRules, assignment_spec
from fuchsiawell.model.changes import NOT_APART, ChangeRules, change_spec
from fuchsiawell.model.membership import (
    LOST_HAS_STOPPED,
    Evidence,
    MembershipRules,
    membership_spec,
)
from fuchsiawell.model.ownership import RUNS, OwnershipRules, ownership_spec
from fuchsiawell.model.requests import (
    AT_MOST_ONCE,
    NOT_RUN_IS_TRUE,
    Ids,
    RequestRules,
    request_spec,
)
from fuchsiawell.model.unchecked import ONE_RUNS, UncheckedRules, unchecked_spec

if TYPE_CHECKING:
    from fuchsiawell.model.checker import Spec

__all__ = ["LIMITS", "MUTANTS", "SPECS", "Variant"]


@dataclass(frozen=True, slots=True)
class Variant:
    """Name a changed specification and the property that it must break."""

    name: str
    spec: Spec
    property: str


WINDOW = MembershipRules()
REPORTS = MembershipRules(Evidence.RECENT_REPORTS)
CHANGES = ChangeRules()
CHECKED = OwnershipRules()
UNCHECKED = UncheckedRules()
STORE = AssignmentRules()
JOURNALED = RequestRules()
UNJOURNALED = RequestRules(Ids.UNJOURNALED)
MINTED = RequestRules(Ids.MINTED)

SPECS: tuple[Spec, ...] = (
    assignment_spec(STORE),
    membership_spec(WINDOW),
    membership_spec(REPORTS),
    change_spec(CHANGES),
    ownership_spec(CHECKED),
    unchecked_spec(UNCHECKED),
    *(
        request_spec(replace(rules, server_checks=checks))
        for rules in (JOURNALED, UNJOURNALED, MINTED)
        for checks in (True, False)
    ),
)


def _membership(name: str, rules: MembershipRules) -> Variant:
    return Variant(name, membership_spec(rules), LOST_HAS_STOPPED)


def _changes(name: str, rules: ChangeRules) -> Variant:
    return Variant(name, change_spec(rules), NOT_APART)


def _ownership(name: str, rules: OwnershipRules, property: str = RUNS) -> Variant:
    return Variant(name, ownership_spec(rules), property)


def _unchecked(name: str, rules: UncheckedRules) -> Variant:
    return Variant(name, unchecked_spec(rules), ONE_RUNS)


def _assignment(name: str, rules: AssignmentRules) -> Variant:
    return Variant(name, assignment_spec(rules), MADE_STAYS)


def _requests(name: str, rules: RequestRules, property: str = AT_MOST_ONCE) -> Variant:
    return Variant(name, request_spec(rules), property)


MUTANTS: tuple[Variant, ...] = (
    _assignment("made before confirmed", replace(STORE, confirms_before_made=False)),
    _assignment("write without compare-and-swap", replace(STORE, compares_revision=False)),
    _assignment("any newer record counts as made", replace(STORE, compares_content=False)),
    _membership("right revived by a late echo", replace(WINDOW, lapse_is_final=False)),
    _membership("silence shorter than the right", replace(WINDOW, silent=1)),
    _membership("reporter of silence goes on echoing", replace(REPORTS, reporter_is_mute=False)),
    _membership("restarted member echoes at once", replace(REPORTS, starts_mute=False)),
    _changes("two members change at once", replace(CHANGES, one_at_a_time=False)),
    _changes("next change before the last is held", replace(CHANGES, waits_for_holders=False)),
    _changes("echo to a holder of an older set", replace(CHANGES, refuses_older=False)),
    _changes("echo before the store confirmed", replace(CHANGES, echoes_once_confirmed=False)),
    _ownership("no fence check", replace(CHECKED, checks_fence=False)),
    _ownership("move without release", replace(CHECKED, moves_after_release=False)),
    _ownership("server lost before its grants lapsed", replace(CHECKED, loses_after_lapse=False)),
    _ownership("grants after the right lapsed", replace(CHECKED, stops_without_right=False)),
    _ownership("grant counts from its arrival", replace(CHECKED, lapses_from_reading=False)),
    _ownership("reading from before a restart", replace(CHECKED, reading_names_process=False)),
    _ownership("late grant of the same term", replace(CHECKED, numbers_calls=False)),
    _ownership("grants to a server given up", replace(CHECKED, gives_up_for_good=False)),
    _unchecked("successor does not wait", replace(UNCHECKED, waits=False)),
    _unchecked("sends after the right lapsed", replace(UNCHECKED, stops_without_right=False)),
    _unchecked("release with work in flight", replace(UNCHECKED, release_waits_for_answers=False)),
    _requests("intent after send", replace(JOURNALED, intent_before_send=False)),
    _requests("successor skips the journal", replace(JOURNALED, reads_journal=False)),
    _requests("journal read before the fence", replace(JOURNALED, reads_after_fence=False)),
    _requests("retracted intent counts", replace(JOURNALED, waits_for_new_intent=False)),
    _requests("leader forgets what it sent", replace(JOURNALED, remembers=False)),
    _requests("scope open after a hand-over", replace(JOURNALED, closes_on_hand_over=False)),
    _requests("unjournaled work not declared", replace(UNJOURNALED, honours_declaration=False)),
    _requests("id of an earlier term runs", replace(MINTED, honours_term_of_id=False)),
    _requests(
        "no answer told as not run",
        replace(JOURNALED, unknown_stays_unknown=False),
        NOT_RUN_IS_TRUE,
    ),
    _requests(
        "not run told after the right lapsed",
        replace(JOURNALED, not_run_needs_right=False),
        NOT_RUN_IS_TRUE,
    ),
)

LIMITS: tuple[Variant, ...] = (
    _ownership(
        "a lost server that checks the fence goes on with work that it had started",
        replace(CHECKED, ends_work_at_lapse=False),
    ),
    _unchecked(
        "a message to a server that does not check is held up without bound",
        replace(UNCHECKED, delay_is_bounded=False),
    ),
    _unchecked(
        "a server that does not check finishes work after its deadline",
        replace(UNCHECKED, enforces_deadline=False),
    ),
)
