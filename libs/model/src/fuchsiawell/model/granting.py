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
    """Rules of the protocol; the defaults are the protocol, each change is a mutant or a limit."""

    new_fence_at_takeover: bool = True
    waits_for_predecessor: bool = (
        True  # before moving keys of a server that accepted no newer fence
    )
    stops_without_store: bool = (
        True  # a granter without contact to the store stops after a time-out
    )
    waits_for_unresponsive: bool = (
        True  # an unresponsive server keeps its keys until its grants expire
    )
    release_waits_for_unanswered: bool = True  # a grant without a response may still take effect
    release_waits_for_renewal: bool = True  # no response to a grant is outstanding during a release
    renews_by_current_map: bool = True  # a renewal reads the shard map again before each call
    stores_before_granting: bool = True  # a new fence is written to the store before it is used
    checks_fence: bool = True  # the server rejects a fence lower than the highest it has accepted


class GrantMessage(NamedTuple):
    """A grant in flight to S; the age counts from its arrival."""

    fence: int = NO_FENCE
    age_ticks: int = 0


class World(NamedTuple):
    """The whole state; `*_ttl_left` is what is left of a grant, in ticks like all times."""

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
        initial=World(),
        steps=lambda world: _steps(world, rules),
        properties={
            SINGLE_OWNER: lambda w: not (w.s_ttl_left and w.t_ttl_left),
            FENCES_INCREASE: lambda w: not w.t_fence or w.t_fence > w.s_highest_fence,
        },
        goals={
            "T owns the keys after a release": lambda w: w.t_ttl_left > 0 and w.released,
            "T owns the keys without a release": lambda w: w.t_ttl_left > 0 and not w.released,
            "S owns the keys in the second term": lambda w: w.s_ttl_left > 0 and w.b_accepted,
            "A stops on its own in the first term": lambda w: not w.a_active and w.term == 1,
        },
    )


def _steps(w: World, rules: GrantRules) -> Iterator[Step]:
    yield Step("a tick passes", _tick(w, rules))
    yield from _a_steps(w)
    yield from _server_steps(w, rules)
    if w.term == 1:
        fence = w.fence + 1 if rules.new_fence_at_takeover else w.fence
        yield Step("B takes over", w._replace(term=2, fence=fence))
    else:
        yield from _b_steps(w, rules)


def _tick(w: World, rules: GrantRules) -> World:
    since_contact = min(w.a_since_store_contact + 1, STORE_TIMEOUT_TICKS)
    stops = since_contact == STORE_TIMEOUT_TICKS and rules.stops_without_store
    return w._replace(
        a_since_store_contact=since_contact,
        a_active=w.a_active and not stops,
        b_since_takeover=min(w.b_since_takeover + 1, TAKEOVER_WAIT_TICKS) if w.term == 2 else 0,
        b_since_grant_end=min(w.b_since_grant_end + 1, GRANT_TTL_TICKS),
        a_grant=_aged(w.a_grant),
        b_grant=_aged(w.b_grant),
        s_ttl_left=max(0, w.s_ttl_left - 1),
        t_ttl_left=max(0, w.t_ttl_left - 1),
    )


def _aged(message: GrantMessage) -> GrantMessage:
    if message.fence == NO_FENCE:
        return message
    return message._replace(age_ticks=min(message.age_ticks + 1, GRANT_TTL_TICKS))


def _a_steps(w: World) -> Iterator[Step]:
    if not w.a_active:
        return
    if w.term == 1:
        yield Step("A reaches the store", w._replace(a_since_store_contact=0))
    else:
        yield Step("A learns of the second term", w._replace(a_active=False))
    yield Step("A renews the grant of S", w._replace(a_grant=GrantMessage(1)))


def _server_steps(w: World, rules: GrantRules) -> Iterator[Step]:
    for granter, message in (("A", w.a_grant), ("B", w.b_grant)):
        if message.fence == NO_FENCE:
            continue
        consumed = (
            w._replace(a_grant=GrantMessage())
            if granter == "A"
            else w._replace(b_grant=GrantMessage())
        )
        yield Step(f"{granter}'s grant is lost", consumed)
        if message.fence < w.s_highest_fence and rules.checks_fence:
            yield Step(f"S rejects {granter}'s grant", consumed)
            continue
        applied = consumed._replace(
            s_highest_fence=max(w.s_highest_fence, message.fence),
            s_ttl_left=max(w.s_ttl_left, GRANT_TTL_TICKS - message.age_ticks),
        )
        yield Step(f"S applies {granter}'s grant, the response is lost", applied)
        # A release waits for the response to a renewal in flight, or for the end of its call.
        may_respond = not w.released or not rules.release_waits_for_renewal
        if granter == "B" and message.age_ticks == 0 and may_respond:
            yield Step(
                "S responds to B's grant",
                applied._replace(b_accepted=True, b_unanswered=False, b_since_grant_end=0),
            )


def _b_steps(w: World, rules: GrantRules) -> Iterator[Step]:
    if not w.t_is_owner or not rules.renews_by_current_map:
        fence = w.fence if not w.t_is_owner else w.fence - 1
        renewed = w._replace(b_grant=GrantMessage(fence), b_since_grant_end=0, b_unanswered=True)
        if not w.released or w.t_is_owner:
            yield Step("B renews the grant of S", renewed)
    if w.t_is_owner:
        return
    if not w.released:
        yield Step(
            "S releases the keys and B gets the response", w._replace(released=True, s_ttl_left=0)
        )
    if _may_move(w, rules):
        fence = w.fence + 1 if rules.stores_before_granting else w.fence
        moved = w._replace(t_is_owner=True, fence=fence, t_fence=fence, t_ttl_left=GRANT_TTL_TICKS)
        yield Step("B grants the keys to T", moved)


def _may_move(w: World, rules: GrantRules) -> bool:
    """Tell whether B can be certain that S owns nothing."""
    predecessor_ended = (
        w.b_accepted or w.b_since_takeover == TAKEOVER_WAIT_TICKS or not rules.waits_for_predecessor
    )
    grant_expired = w.b_since_grant_end == GRANT_TTL_TICKS
    if w.released:
        settled = not w.b_unanswered or grant_expired or not rules.release_waits_for_unanswered
        return predecessor_ended and settled
    return predecessor_ended and (grant_expired or not rules.waits_for_unresponsive)
