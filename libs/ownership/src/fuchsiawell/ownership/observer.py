"""Gather what one daemon sees of its cell into the evidence for a decision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.ownership.evidence import Evidence

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiawell.core import DaemonId
    from fuchsiawell.ownership.assignment import Assignment
    from fuchsiawell.ownership.evidence import Fact, Request
    from fuchsiawell.ownership.membership import Membership
    from fuchsiawell.platform import Host

__all__ = ["Observer"]


REQUEST_S = 3.0  # a request that could not be weighed is forgotten after this time


class Observer:
    """Hold the latest facts, requests and hints, by daemon; later ones replace earlier ones."""

    def __init__(self, membership: Membership, now_s: float) -> None:
        self._membership = membership
        self._started_s = now_s
        self._facts_by_daemon: dict[DaemonId, frozenset[Fact]] = {}
        self._controller_lost: tuple[DaemonId, float] | None = None
        self.hosts: tuple[Host, ...] = ()
        self._asked_s_by_request: dict[Request, float] = {}
        self.rebalanced_s = float("-inf")

    def on_facts(self, daemon: DaemonId, facts: frozenset[Fact]) -> None:
        """Take everything that a leader states at present."""
        self._facts_by_daemon[daemon] = facts

    def on_requests(self, requests: Iterable[Request], now_s: float) -> None:
        """Take what a balancer or an operator asks for; it counts once, within REQUEST_S."""
        self._asked_s_by_request |= dict.fromkeys(requests, now_s)

    def forget_requests(self, requests: Iterable[Request]) -> None:
        """Drop requests that were weighed; kept, two for one shard would move it to and fro."""
        for request in requests:
            self._asked_s_by_request.pop(request, None)

    def evidence(self, assignment: Assignment, now_s: float) -> Evidence:
        """Return what is known at this instant, with `assignment` as the record in force."""
        membership = self._membership
        lost = membership.lost_members(now_s)
        heard = membership.heard(now_s)
        self_id = membership.self_id
        has_right = membership.has_right(now_s)
        version = assignment.members_version
        return Evidence(
            self_id=self_id,
            has_right=has_right,
            zones_by_daemon={id: h.zone for id, h in heard.items()} | {self_id: membership.zone},
            incarnations_by_daemon={id: h.incarnation for id, h in heard.items()}
            | {self_id: membership.incarnation},
            acting=frozenset(id for id, h in heard.items() if h.acting)
            | (frozenset([self_id]) if has_right else frozenset()),
            inactive=membership.inactive(now_s),
            leaving=frozenset(id for id, h in heard.items() if h.leaving)
            | (frozenset([self_id]) if membership.leaving else frozenset()),
            cut_from_store=frozenset(id for id, h in heard.items() if not h.has_store),
            lost=lost,
            up_to_date=frozenset(id for id, h in heard.items() if h.members_version == version)
            | (frozenset([self_id]) if membership.members_version == version else frozenset()),
            controller_lost_for_s=self._controller_lost_for_s(assignment.controller, lost, now_s),
            started_for_s=now_s - self._started_s,
            hosts=self.hosts,
            facts_by_daemon=dict(self._facts_by_daemon),
            requests=self._requests(now_s),
            rebalanced_s=self.rebalanced_s,
        )

    def _requests(self, now_s: float) -> tuple[Request, ...]:
        asked = self._asked_s_by_request
        for request in [r for r, asked_s in asked.items() if now_s - asked_s >= REQUEST_S]:
            del asked[request]
        return tuple(asked)

    def _controller_lost_for_s(
        self, controller: DaemonId | None, lost: frozenset[DaemonId], now_s: float
    ) -> float | None:
        if controller is None or controller not in lost:
            self._controller_lost = None
            return None
        if self._controller_lost is None or self._controller_lost[0] != controller:
            self._controller_lost = (controller, now_s)
        return now_s - self._controller_lost[1]
