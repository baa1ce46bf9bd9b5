"""A backend server of a run: the stand-in's grants, and work that takes time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.bench.faults.network import Network, Node
from fuchsiawell.daemon.control.interfaces import Calls
from fuchsiawell.ownership import (
    Action,
    Event,
    GrantInstalled,
    GrantLapsed,
    GrantRefused,
    GrantRenewed,
    InstallGrant,
    NoAnswer,
    ProbeAnswered,
    ProbeServer,
    ReleaseFailed,
    ReleaseShard,
    RenewGrant,
    ShardReleased,
)
from fuchsiawell.ownership.server_leadership import CALL_TIMEOUT_S
from fuchsiawell.standins.backend import grants as standin

if TYPE_CHECKING:
    from fuchsiawell.bench.faults.checker import Checker
    from fuchsiawell.core import Clock, ServerId

__all__ = ["Server", "ServerLinks", "Work"]

STEP_S = 0.01  # running work looks at its deadline and its grant this often
LEAST_STEP_S = 0.0001  # a shorter wait may not move the clock at all
RELEASE_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Work:
    """Describe one request as it reaches a server."""

    key: str
    fence: standin.Fence
    service_s: float
    deadline_s: float  # enforced by the server from when it reads the request


class Server(Node):
    """Run work as the real stand-in does, in virtual time and without HTTP."""

    def __init__(
        self, name: str, zone: str, checks_fence: bool, clock: Clock, checker: Checker
    ) -> None:
        super().__init__(name, zone)
        self.checks_fence = checks_fence
        self._clock = clock
        self._checker = checker
        self.grants = standin.Grants(clock)
        self._running: dict[str, int] = {}

    def pause(self) -> None:
        """Freeze with whatever runs."""
        super().pause()
        self._checker.on_frozen(self.name, True, self._clock.monotonic())

    def kill(self) -> None:
        """End, with whatever runs."""
        self.alive = False

    async def run(self, work: Work) -> str:
        """Run one request and return `answered`, `refused` or `stopped`."""
        now_s = self._clock.monotonic
        end_s, limit_s = now_s() + work.service_s, now_s() + work.deadline_s
        if self.checks_fence and not self.grants.allows(work.fence):
            return "refused"
        shard = work.fence.shard
        self._running[shard] = self._running.get(shard, 0) + 1
        self._checker.on_start(work.key, work.fence.epoch, self.name, now_s())
        try:
            while now_s() < end_s and self.alive:
                await asyncio.sleep(min(STEP_S, max(LEAST_STEP_S, end_s - now_s())))
                await self.turn()
                if now_s() > limit_s or self._run_left_s() <= 0:
                    return "stopped"
            return "answered" if self.alive else "stopped"
        finally:
            self._running[shard] -= 1
            self._checker.on_end(work.key, self.name)

    def thaw(self) -> None:
        """Run again; work that ran out of time meanwhile is stopped before anything else."""
        self.resume()
        loop = asyncio.get_running_loop()
        loop.call_later(
            STEP_S, lambda: self._checker.on_frozen(self.name, False, self._clock.monotonic())
        )

    async def wait_until_idle(self, shard: str) -> None:
        """Wait until nothing of the shard runs."""
        while self._running.get(shard):
            await asyncio.sleep(STEP_S)
            await self.turn()

    def _run_left_s(self) -> float:
        return self.grants.run_left_s() if self.checks_fence else float("inf")


class ServerLinks(Calls):
    """Carry a daemon's calls to the servers of a run."""

    def __init__(self, own: Node, network: Network, servers: dict[ServerId, Server]) -> None:
        self._own = own
        self._network = network
        self._servers = servers

    async def close(self) -> None:
        """Do nothing."""

    async def perform(self, action: Action) -> Event:
        """Make the call; without an answer in time, it may take effect later all the same."""
        call = asyncio.create_task(self._exchange(action))
        limit_s = RELEASE_TIMEOUT_S if isinstance(action, ReleaseShard) else CALL_TIMEOUT_S
        done, _ = await asyncio.wait([call], timeout=limit_s)
        await self._own.turn()
        event = call.result() if done else None
        if event is not None:
            return event
        if isinstance(action, ReleaseShard):
            return ReleaseFailed(action.server, action.term, action.shard, action.epoch)
        return NoAnswer(action.server, action.term, action.call)

    async def _exchange(self, action: Action) -> Event | None:
        server = self._servers[action.server]
        if not await self._network.travel(self._own, server):
            return None
        event = await self._serve(server, action)
        return event if await self._network.travel(server, self._own) else None

    async def _serve(self, server: Server, action: Action) -> Event:
        id, term, grants = action.server, action.term, server.grants
        match action:
            case ProbeServer(call=call):
                clock_ms = grants.clock_ms if server.checks_fence else None
                return ProbeAnswered(id, term, call, clock_ms)
            case ReleaseShard(shard=shard, epoch=epoch):
                answer = grants.release(term, str(shard))
                if not isinstance(answer, standin.Accepted):
                    return ReleaseFailed(id, term, shard, epoch)
                await server.wait_until_idle(str(shard))
                return ShardReleased(id, term, shard, epoch)
            case InstallGrant(call=call):
                epochs = {str(shard): epoch for shard, epoch in action.epochs_by_shard.items()}
                answer = grants.install(
                    term, action.ttl_s, epochs, call, action.clock_ms, action.run_s
                )
                return _event(answer, GrantInstalled, action, grants.clock_ms)
            case RenewGrant():
                answer = grants.renew(term, action.ttl_s, action.clock_ms, action.run_s)
                return _event(answer, GrantRenewed, action, grants.clock_ms)


def _event(
    answer: standin.GrantAnswer,
    confirmed: type[GrantInstalled | GrantRenewed],
    action: InstallGrant | RenewGrant,
    clock_ms: int,
) -> Event:
    match answer:
        case standin.Accepted():
            return confirmed(action.server, action.term, action.call, clock_ms)
        case standin.GrantLapsed():
            return GrantLapsed(action.server, action.term, action.call, clock_ms)
        case standin.HigherTerm():
            return GrantRefused(action.server, action.term, action.call)
