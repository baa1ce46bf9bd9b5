"""Brings the leaders' load to the controller, and asks for the moves that level it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from fuchsiawell.daemon.control.wire import ControlKind
from fuchsiawell.load import (
    Balancer,
    LoadReport,
    decode_load_report,
    encode_load_report,
    merge_reports,
    weights_for,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.config import Configuration
    from fuchsiawell.core import DaemonId
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.control.interfaces import ControlLinks
    from fuchsiawell.ownership import Assignment, Request


__all__ = ["BALANCE_S", "BalanceLoop"]

BALANCE_S = 2.0  # time between two reports, and between two thoughts of the controller
FRESH_S = 3 * BALANCE_S  # an older report is left out
LONGEST_MOVABLE_S = 10.0  # a moving shard refuses its other keys until its longest request ends


class BalanceLoop:
    """Report this daemon's load; on the controller, ask for moves and pins."""

    def __init__(
        self,
        context: Context,
        state: CellState,
        peers: ControlLinks,
        ask: Callable[[tuple[Request, ...]], None],
    ) -> None:
        self._context = context
        self._state = state
        self._peers = peers
        self._ask = ask
        self._reports_by_daemon: dict[DaemonId, tuple[float, LoadReport]] = {}
        self._balancer: Balancer | None = None
        self._balancer_version = -1
        self.own_report: Callable[[], LoadReport] | None = None

    async def step(self) -> None:
        """Send the report to the controller, or weigh all reports if this daemon is it."""
        assignment, configuration = self._state.assignment, self._state.configuration
        if assignment is None or configuration is None or self.own_report is None:
            return
        own = self._context.settings.daemon
        if assignment.controller == own:
            self._take(own, self.own_report())
            self._balance(assignment, configuration)
            return
        self._balancer = None
        if assignment.controller is not None:
            body = encode_load_report(self.own_report())
            self._peers.send_control(assignment.controller, ControlKind.LOAD, body)

    def on_report(self, sender: DaemonId, body: Any) -> None:
        """Take the report of another leader."""
        self._take(sender, decode_load_report(body, sender))

    def _take(self, sender: DaemonId, report: LoadReport) -> None:
        self._reports_by_daemon[sender] = (self._context.clock.monotonic(), report)

    def _balance(self, assignment: Assignment, configuration: Configuration) -> None:
        now_s = self._context.clock.monotonic()
        self._reports_by_daemon = {
            daemon: (at_s, report)
            for daemon, (at_s, report) in self._reports_by_daemon.items()
            if now_s - at_s <= FRESH_S
        }
        load = merge_reports(report for _, report in self._reports_by_daemon.values())
        balancer = self._balancer_for(configuration, now_s)
        requests = balancer.propose(load, assignment, now_s)
        if requests:
            self._context.log.event("balance", step="balance", requests=len(requests))
            self._ask(tuple(requests))

    def _balancer_for(self, configuration: Configuration, now_s: float) -> Balancer:
        if self._balancer is None or self._balancer_version != configuration.version:
            weights = {
                name: weights_for(service.goal)
                for name, service in configuration.services_by_name.items()
                if service.longest_deadline_s <= LONGEST_MOVABLE_S
            }
            self._balancer = Balancer(weights, now_s)
            self._balancer_version = configuration.version
        return self._balancer
