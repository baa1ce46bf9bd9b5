"""Carries out what the leadership decides: calls to servers, and facts to the controller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.daemon.control.wire import ControlKind, facts_to_wire

if TYPE_CHECKING:
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.control.interfaces import Calls, ControlLinks
    from fuchsiawell.ownership import Action, Fact, Leader, Observer

__all__ = ["LEAD_S", "LeaderLoop"]

LEAD_S = 0.05  # time between two looks at what is due
STATE_AGAIN_S = 0.3  # facts are stated again after this time, as a message may be lost


class LeaderLoop:
    """Turn the leadership's actions into calls and their answers into events."""

    def __init__(
        self,
        context: Context,
        leader: Leader,
        observer: Observer,
        peers: ControlLinks,
        calls: Calls,
    ) -> None:
        self._context = context
        self._leader = leader
        self._observer = observer
        self._peers = peers
        self._calls = calls
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = False
        self._stated: frozenset[Fact] = frozenset()
        self._stated_s = float("-inf")

    async def step(self) -> None:
        """Start the calls that are due and state what the controller must know."""
        if self._stopped:
            return
        for action in self._leader.tick(self._context.clock.monotonic()):
            task = asyncio.create_task(self._perform(action))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._state_facts()

    async def stop(self) -> None:
        """Cancel calls and close connections; a call that ends meanwhile starts no other."""
        self._stopped = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._calls.close()

    async def _perform(self, action: Action) -> None:
        event = await self._calls.perform(action)
        self._leader.on_event(event, self._context.clock.monotonic())
        # What follows from an answer is not put off to the next look.
        await self.step()

    def _state_facts(self) -> None:
        facts = self._leader.facts()
        now_s = self._context.clock.monotonic()
        unchanged = facts == self._stated
        if unchanged and (not facts or now_s - self._stated_s < STATE_AGAIN_S):
            return
        for fact in facts - self._stated:
            server = getattr(fact, "server", None)
            self._context.log.event("stated", fact=repr(fact), server=server)
        self._stated, self._stated_s = facts, now_s
        own = self._context.settings.daemon
        self._observer.on_facts(own, facts)
        assignment = self._leader.assignment
        controller = None if assignment is None else assignment.controller
        if controller is not None and controller != own:
            self._peers.send_control(controller, ControlKind.FACTS, facts_to_wire(facts))
