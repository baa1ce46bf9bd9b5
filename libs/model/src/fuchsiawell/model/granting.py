"""Specification of granting: at no instant do two servers own the same keys.

Keys move from server S to server T, by a release or because S is unresponsive. Daemon A is the
elected granter in term 1; daemon B takes over in term 2. B may do so at any moment, because A's
lease may end while A, cut off from the store, still runs. Messages to S may be lost, delayed, or
executed late. The duration of a grant counts from its arrival, which is no later than the end of
its call. A suspended process is modelled by ticks that pass without its steps. Granting to T is a
single step, because the state of T is always known.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from fuchsiawell.model.checker import Spec, Step

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["FENCES_INCREASE", "SINGLE_OWNER", "GrantRules", "grant_spec"]

GRANT_TTL_TICKS = 2
STORE_TIMEOUT_TICKS = 2  # how long a granter stays active without contact to the store
TAKEOVER_WAIT_TICKS = STORE_TIMEOUT_TICKS + GRANT_TTL_TICKS
NO_FENCE = -1

SINGLE_OWNER = "two servers never own the keys at once"
FENCES_INCREASE = "T's fence is above every fence that S accepted"


@dataclass(frozen=True, slots=True)
class GrantRules:
    """Rules of the protocol; all hold in the protocol; each change is a mutant or a known limit."""

    # The new granter assigns a new fence to the keys.
    new_fence_at_takeover: bool = True
    # Wait before moving the keys of a server that has not accepted a newer fence.
    waits_for_predecessor: bool = True
    # A granter without contact to the store stops after a timeout.
    stops_without_store: bool = True
    # An unresponsive server keeps its keys until its grants expire.
    waits_for_unresponsive: bool = True
    # A release waits until a grant without a response can no longer take effect.
    release_waits_for_unanswered: bool = True
    # A release waits until no renewal call is in flight.
    release_waits_for_renewal: bool = True
    # A renewal reads the shard map again before each call.
    renews_by_current_map: bool = True
    # A new fence is written to the store before it is used.
    stores_before_granting: bool = True
    # The server rejects a fence lower than the highest it has accepted.
    checks_fence: bool = True


class GrantMessage(NamedTuple):
    """A grant in flight to S; the age counts from its arrival."""

    fence: int = NO_FENCE
    age_ticks: int = 0


class GrantState(NamedTuple):
    """State of the whole system; all times are in ticks, `*_ttl_left` until a grant expires."""

    term: int = 1
    fence: int = 1  # of the keys, in the shard map record
    t_is_owner: bool = False  # in the shard map record
    a_active: bool = True
    a_since_store_contact: int = 0
    b_since_takeover: int = 0
    b_since_grant_end: int = GRANT_TTL_TICKS  # since the end of B's last grant call to S
    b_unanswered: bool = False  # B's last grant to S got no response
    b_accepted: bool = False  # S accepted a fence of B's term
    released: bool = False
    a_grant: GrantMessage = GrantMessage()
    b_grant: GrantMessage = GrantMessage()
    s_highest_fence: int = 1
    s_ttl_left: int = GRANT_TTL_TICKS
    t_fence: int = 0
    t_ttl_left: int = 0


def grant_spec(rules: GrantRules) -> Spec:
    """Return the specification under `rules`."""
    return Spec(
        name="granting",
        initial=GrantState(),
        steps=lambda state: _steps(state, rules),
        properties={
            SINGLE_OWNER: lambda state: not (state.s_ttl_left and state.t_ttl_left),
            FENCES_INCREASE: lambda state: not state.t_fence
            or state.t_fence > state.s_highest_fence,
        },
        goals={
            "T owns the keys after a release": lambda state: (
                state.t_ttl_left > 0 and state.released
            ),
            "T owns the keys without a release": lambda state: (
                state.t_ttl_left > 0 and not state.released
            ),
            "S owns the keys in the second term": lambda state: (
                state.s_ttl_left > 0 and state.b_accepted
            ),
            "A stops on its own in the first term": lambda state: (
                not state.a_active and state.term == 1
            ),
        },
    )


def _steps(state: GrantState, rules: GrantRules) -> Iterator[Step]:
    yield Step("a tick passes", _tick(state, rules))
    yield from _a_steps(state)
    yield from _server_steps(state, rules)
    if state.term == 1:
        fence = state.fence + 1 if rules.new_fence_at_takeover else state.fence
        yield Step("B takes over", state._replace(term=2, fence=fence))
    else:
        yield from _b_steps(state, rules)


def _tick(state: GrantState, rules: GrantRules) -> GrantState:
    since_contact = min(state.a_since_store_contact + 1, STORE_TIMEOUT_TICKS)
    stops = since_contact == STORE_TIMEOUT_TICKS and rules.stops_without_store
    return state._replace(
        a_since_store_contact=since_contact,
        a_active=state.a_active and not stops,
        b_since_takeover=(
            min(state.b_since_takeover + 1, TAKEOVER_WAIT_TICKS) if state.term == 2 else 0
        ),
        b_since_grant_end=min(state.b_since_grant_end + 1, GRANT_TTL_TICKS),
        a_grant=_aged(state.a_grant),
        b_grant=_aged(state.b_grant),
        s_ttl_left=max(0, state.s_ttl_left - 1),
        t_ttl_left=max(0, state.t_ttl_left - 1),
    )


def _aged(message: GrantMessage) -> GrantMessage:
    if message.fence == NO_FENCE:
        return message
    return message._replace(age_ticks=min(message.age_ticks + 1, GRANT_TTL_TICKS))


def _a_steps(state: GrantState) -> Iterator[Step]:
    if not state.a_active:
        return
    if state.term == 1:
        yield Step("A reaches the store", state._replace(a_since_store_contact=0))
    else:
        yield Step("A learns of the second term", state._replace(a_active=False))
    yield Step("A renews the grant of S", state._replace(a_grant=GrantMessage(1)))


def _server_steps(state: GrantState, rules: GrantRules) -> Iterator[Step]:
    for granter, message in (("A", state.a_grant), ("B", state.b_grant)):
        if message.fence == NO_FENCE:
            continue
        consumed = (
            state._replace(a_grant=GrantMessage())
            if granter == "A"
            else state._replace(b_grant=GrantMessage())
        )
        yield Step(f"{granter}'s grant is lost", consumed)
        if message.fence < state.s_highest_fence and rules.checks_fence:
            yield Step(f"S rejects {granter}'s grant", consumed)
            continue
        applied = consumed._replace(
            s_highest_fence=max(state.s_highest_fence, message.fence),
            s_ttl_left=max(state.s_ttl_left, GRANT_TTL_TICKS - message.age_ticks),
        )
        yield Step(f"S applies {granter}'s grant, the response is lost", applied)
        # A release waits for the response to a renewal in flight, or for the end of its call.
        may_respond = not state.released or not rules.release_waits_for_renewal
        if granter == "B" and message.age_ticks == 0 and may_respond:
            yield Step(
                "S responds to B's grant",
                applied._replace(b_accepted=True, b_unanswered=False, b_since_grant_end=0),
            )


def _b_steps(state: GrantState, rules: GrantRules) -> Iterator[Step]:
    if not state.t_is_owner or not rules.renews_by_current_map:
        fence = state.fence if not state.t_is_owner else state.fence - 1
        renewed = state._replace(
            b_grant=GrantMessage(fence), b_since_grant_end=0, b_unanswered=True
        )
        if not state.released or state.t_is_owner:
            yield Step("B renews the grant of S", renewed)
    if state.t_is_owner:
        return
    if not state.released:
        yield Step(
            "S releases the keys and B gets the response",
            state._replace(released=True, s_ttl_left=0),
        )
    if _may_move(state, rules):
        fence = state.fence + 1 if rules.stores_before_granting else state.fence
        moved = state._replace(
            t_is_owner=True, fence=fence, t_fence=fence, t_ttl_left=GRANT_TTL_TICKS
        )
        yield Step("B grants the keys to T", moved)


def _may_move(state: GrantState, rules: GrantRules) -> bool:
    """Tell whether B can be certain that S owns nothing."""
    predecessor_ended = (
        state.b_accepted
        or state.b_since_takeover == TAKEOVER_WAIT_TICKS
        or not rules.waits_for_predecessor
    )
    grant_expired = state.b_since_grant_end == GRANT_TTL_TICKS
    if state.released:
        no_pending_grant = (
            not state.b_unanswered or grant_expired or not rules.release_waits_for_unanswered
        )
        return predecessor_ended and no_pending_grant
    return predecessor_ended and (grant_expired or not rules.waits_for_unresponsive)
