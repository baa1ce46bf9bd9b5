"""The control plane of one daemon: membership, decisions, leadership, records."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from result import Err, Ok

from fuchsiawell.core import DaemonId, FuchsiawellError
from fuchsiawell.daemon.control.authority import LeadershipAuthority
from fuchsiawell.daemon.control.balance_loop import BALANCE_S, BalanceLoop
from fuchsiawell.daemon.control.controller_loop import DECIDE_S, ControllerLoop
from fuchsiawell.daemon.control.distribution import Distribution
from fuchsiawell.daemon.control.leader_loop import LEAD_S, LeaderLoop
from fuchsiawell.daemon.control.loops import Loops
from fuchsiawell.daemon.control.server_calls import ServerCalls
from fuchsiawell.daemon.control.store_records import StoreRecords
from fuchsiawell.daemon.control.wire import (
    ControlKind,
    facts_from_wire,
    heartbeat_from_wire,
    heartbeat_to_wire,
    requests_from_wire,
    requests_to_wire,
)
from fuchsiawell.ownership import HEARTBEAT_S, Leader, Membership, Observer
from fuchsiawell.platform import ENTRY_ROLE, Host

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.control.interfaces import Calls, ControlLinks
    from fuchsiawell.load import LoadReport
    from fuchsiawell.ownership import Request
    from fuchsiawell.platform import HostList, Store

__all__ = ["Control"]

HOSTS_S = 1.0  # time between two readings of the platform's host list
RECORDS_S = 0.2  # time between two looks at which records to read or watch
FIRST_READS_S = 0.3  # the first reads of a cell that starts at once are spread over this time
RETRY_READ_S = 2.0  # mean time between two reads of a store that fails
LEAVE_TIMEOUT_S = 5.0  # a stopping daemon waits so long for others to take its servers
LEAVE_POLL_S = 0.02
MS_PER_S = 1000
CONTROL_KINDS = frozenset(kind.value for kind in ControlKind)


class Control:
    """Own the control loops of a daemon and what they share."""

    def __init__(
        self,
        context: Context,
        state: CellState,
        peers: ControlLinks,
        store: Store,
        hosts: HostList,
        calls: Calls | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        settings, clock = context.settings, context.clock
        now_s = clock.monotonic()
        self._context = context
        self._state = state
        self._peers = peers
        self._hosts = hosts
        # Above the incarnations of earlier processes unless the wall clock went back.
        incarnation = int(clock.now().timestamp() * MS_PER_S)
        self.membership = Membership(settings.daemon, settings.zone, incarnation, now_s)
        self.leader = Leader(self.membership)
        self.observer = Observer(self.membership, now_s)
        self.authority = LeadershipAuthority(self.leader, clock)
        self.records = StoreRecords(context, state, store)
        self._distribution = Distribution(context, state, peers)
        self._sleep = sleep
        self._leading = LeaderLoop(
            context, self.leader, self.observer, peers, calls or ServerCalls(settings.daemon)
        )
        self._deciding = ControllerLoop(
            context, state, self.observer, self.records, self._distribution
        )
        self._balancing = BalanceLoop(context, state, peers, self.ask)
        self._loops = Loops(context.log, sleep)
        self._had_right = False
        state.listen(self._on_records)

    def balance_by(self, own_report: Callable[[], LoadReport]) -> None:
        """Take the load of the servers led here from `own_report`."""
        self._balancing.own_report = own_report

    def start(self) -> None:
        """Begin to take part in the cell."""
        self._loops.every(HOSTS_S, "read hosts", self._read_hosts)
        self._loops.every(HEARTBEAT_S, "send heartbeats", self._send_heartbeats)
        self._loops.every(RECORDS_S, "follow records", self._follow_records)
        self._loops.every(DECIDE_S, "decide", self._deciding.step)
        self._loops.every(LEAD_S, "lead", self._leading.step)
        self._loops.every(BALANCE_S, "balance", self._balancing.step)

    async def leave(self) -> None:
        """Hand leadership over before a planned stop, waiting a bounded time for successors."""
        self.membership.leaving = True
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                # Successors may also go away, which no record tells.
                while self._has_successors() and self._leads_any():
                    await self._sleep(LEAVE_POLL_S)
        except TimeoutError:
            self._context.log.warning("left without hand-over", step="leave")

    async def stop(self) -> None:
        """End all loops; peers find out by silence."""
        await self._loops.stop()
        await self._leading.stop()
        await self._hosts.close()

    def ask(self, requests: tuple[Request, ...]) -> None:
        """Ask the controller for moves and pins; the caller asks again until they are made."""
        assignment = self._state.assignment
        if assignment is None or assignment.controller is None:
            return
        if assignment.controller == self._context.settings.daemon:
            self.observer.on_requests(requests, self._context.clock.monotonic())
            return
        body = requests_to_wire(requests)
        self._peers.send_control(assignment.controller, ControlKind.ASK, body)

    def on_control(self, sender: DaemonId, kind: str, body: Any) -> bool:
        """Take a control message; return whether it was of a kind known here."""
        if kind not in CONTROL_KINDS:
            return False
        try:
            self._dispatch(sender, ControlKind(kind), body)
        except FuchsiawellError as error:
            self._context.log.warning(
                "bad control message", step=error.step, peer=error.peer, detail=error.detail
            )
        return True

    def status(self) -> dict[str, Any]:
        """Return membership and leadership as this daemon sees them."""
        now_s = self._context.clock.monotonic()
        assignment = self._state.assignment
        membership = self.membership
        return {
            "right_to_act": membership.has_right(now_s),
            "incarnation": membership.incarnation,
            "heard": sorted(membership.heard(now_s)),
            "lost": sorted(membership.lost_members(now_s)),
            "store": "answers" if not self.records.failing else "fails",
            "from_store": self.records.confirmed,
            "members": [] if assignment is None else list(assignment.members),
            "controller": None if assignment is None else assignment.controller,
            "revision": membership.revision,
            "configuration_version": membership.configuration_version,
            "leads": self.leader.states(),
        }

    def _dispatch(self, sender: DaemonId, kind: ControlKind, body: Any) -> None:
        now_s = self._context.clock.monotonic()
        match kind:
            case ControlKind.HEARTBEAT:
                heartbeat = heartbeat_from_wire(body, sender)
                self.membership.on_heartbeat(heartbeat, now_s)
                self._distribution.on_heartbeat(heartbeat)
            case ControlKind.FACTS:
                self.observer.on_facts(sender, facts_from_wire(body, sender))
            case ControlKind.ASK:
                self.observer.on_requests(requests_from_wire(body, sender), now_s)
            case ControlKind.LOAD:
                self._balancing.on_report(sender, body)
            case ControlKind.WANT:
                self._distribution.on_want(sender, body)
            case ControlKind.ASSIGNMENT:
                self._distribution.on_assignment(sender, body)
            case ControlKind.CONFIGURATION:
                self._distribution.on_configuration(sender, body)

    def _on_records(self) -> None:
        now_s = self._context.clock.monotonic()
        configuration, assignment = self._state.configuration, self._state.assignment
        if configuration is not None:
            self.membership.configuration_version = configuration.version
            services = configuration.services_by_name.items()
            self.leader.set_longest_deadlines(
                {name: service.longest_deadline_s for name, service in services}
            )
        if assignment is not None:
            self.membership.set_members(
                assignment.members, assignment.members_version, self.records.confirmed, now_s
            )
            self.membership.revision = assignment.revision
            self.leader.apply(assignment, now_s)

    async def _send_heartbeats(self) -> None:
        now_s = self._context.clock.monotonic()
        self.membership.has_store = self.records.reachable
        others = self._peers.addresses()
        for id, heartbeat in self.membership.heartbeats(now_s, others).items():
            self._peers.send_control(id, ControlKind.HEARTBEAT, heartbeat_to_wire(heartbeat))
        has_right = self.membership.has_right(now_s)
        if has_right != self._had_right:
            self._context.log.event("right to act" if has_right else "right lapsed")
        self._had_right = has_right

    async def _read_hosts(self) -> None:
        match await self._hosts.hosts():
            case Ok(hosts):
                self._take_hosts(hosts)
            case Err(error):
                self._context.log.debug("host list failed", step="hosts", detail=repr(error))

    def _take_hosts(self, hosts: list[Host]) -> None:
        self.observer.hosts = tuple(hosts)
        listed = {
            DaemonId(host.id): host.address
            for host in hosts
            if host.role == ENTRY_ROLE and host.id != self._context.settings.daemon
        }
        # The list lags: a member that it leaves out is still a member.
        members = () if self._state.assignment is None else self._state.assignment.members
        known = self._peers.addresses()
        kept = {id: address for id, address in known.items() if id in members}
        self._peers.set_addresses({**kept, **listed})

    async def _follow_records(self) -> None:
        """Read both records once; from then on only the controller asks the store."""
        records, state = self.records, self._state
        if not records.confirmed:
            await self._sleep(self._context.random.random() * FIRST_READS_S)
            if await records.read_assignment() and await records.read_configuration():
                self._on_records()
                return
        elif state.assignment is None or state.configuration is None:
            await records.read_assignment()
            await records.read_configuration()
            return
        elif not records.failing:
            is_watcher = state.assignment.controller == self._context.settings.daemon
            if is_watcher and await records.watch_configuration():
                self._distribution.push()
            return
        elif await records.read_assignment():
            return
        await self._sleep(RETRY_READ_S * (0.5 + self._context.random.random()))

    def _has_successors(self) -> bool:
        now_s = self._context.clock.monotonic()
        heard = self.membership.heard(now_s).values()
        return self.membership.has_right(now_s) and any(not h.leaving for h in heard)

    def _leads_any(self) -> bool:
        assignment = self._state.assignment
        own = self._context.settings.daemon
        return assignment is not None and any(True for _ in assignment.led_by(own))
