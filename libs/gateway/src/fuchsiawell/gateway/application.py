"""The daemon: creates its components, starts and stops them in order."""

from __future__ import annotations

import asyncio
import signal
from functools import partial
from typing import TYPE_CHECKING

from transitions import Machine

from fuchsiawell.gateway.control.change_relay import ChangeRelay
from fuchsiawell.gateway.control.control_loop import run_control_loop
from fuchsiawell.gateway.control.granter import Granter
from fuchsiawell.gateway.control.hubs import HubSelector
from fuchsiawell.gateway.control.leaving_tracker import LeavingTracker
from fuchsiawell.gateway.control.load_reporter import LoadReporter
from fuchsiawell.gateway.control.load_tracker import LoadTracker
from fuchsiawell.gateway.control.maintenance import Maintenance
from fuchsiawell.gateway.control.membership import Membership
from fuchsiawell.gateway.control.pace_reporter import PaceReporter
from fuchsiawell.gateway.control.peers import PeerMessenger
from fuchsiawell.gateway.control.queue_reporter import QueueReporter
from fuchsiawell.gateway.control.rest_tracker import RestTracker
from fuchsiawell.gateway.control.server_reach import ServerReach
from fuchsiawell.gateway.control.store_watcher import StoreWatcher
from fuchsiawell.gateway.execute.backend_client import BackendClient
from fuchsiawell.gateway.execute.connection_pool import ConnectionPool
from fuchsiawell.gateway.execute.crash_reports import CrashReports
from fuchsiawell.gateway.execute.forwarder import Forwarder
from fuchsiawell.gateway.execute.frontend import FINAL_RESPONSE_TIMEOUT_S, Frontend
from fuchsiawell.gateway.execute.held_bytes import HeldBytes
from fuchsiawell.gateway.execute.placement import Placement
from fuchsiawell.gateway.execute.rate_limiting import RateLimiting
from fuchsiawell.gateway.execute.relay_client import RelayClient
from fuchsiawell.gateway.execute.relay_frontend import RelayFrontend
from fuchsiawell.gateway.execute.relaying import Relaying
from fuchsiawell.gateway.operators.explanation import ExplanationPage
from fuchsiawell.gateway.operators.page_server import PageServer
from fuchsiawell.gateway.session.cold_entries import mark_zone_cold
from fuchsiawell.httpio import Channel

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from fuchsiawell.gateway.config.settings import Address
    from fuchsiawell.gateway.ports import BackendProtocol, RecordDecoder, SettingsSource, Store
    from fuchsiawell.gateway.session.state import Session

__all__ = ["Application"]

# After a stop begins, new connections are still accepted until the load balancer has seen two
# failed readiness checks; it checks once a second.
UNREADY_LISTEN_S = 2.4
# Part of the stop grace period that is reserved for closing.
CLOSE_RESERVE_S = 0.5
# Time after the last connection was accepted in which its client sends its request: a round trip,
# and the retransmission of a lost packet.
FIRST_REQUEST_WAIT_S = 0.25
# Part of CLOSE_RESERVE_S for the last call to the store, which may be unavailable; the process
# needs the rest to exit.
LEAVE_RESERVE_S = 0.25
LISTEN_BACKLOG = 512
# Page at the metrics address that explains where a request would go.
EXPLANATION_PATH = "/explain"
# Interval of checks whether the settings have changed without a SIGHUP.
SETTINGS_POLL_INTERVAL_S = 1.0


class Application:
    """One daemon, from start to an orderly stop."""

    state: str

    def __init__(
        self,
        session: Session,
        store: Store,
        records: RecordDecoder,
        protocol: BackendProtocol,
        settings_source: SettingsSource,
    ) -> None:
        self._session = session
        self._settings_source = settings_source
        self._held = HeldBytes(session)
        self._pool = ConnectionPool(session.clock, lambda: session.daemon_count, meter=self._held)
        self._server_reach = ServerReach(session, self._pool)
        self._peers = PeerMessenger(session)
        self._store_watcher = StoreWatcher(session, store, records)
        self._hubs = HubSelector(session)
        self._load_reporter = LoadReporter(session, self._peers, self._hubs)
        self._peers.on_load_report = self._load_reporter.apply
        self._queue_reporter = QueueReporter(session, self._peers, self._hubs)
        self._peers.on_queue_report = self._queue_reporter.apply
        self._pace_reporter = PaceReporter(session, self._peers, self._hubs)
        self._peers.on_pace_report = self._pace_reporter.apply
        self._change_relay = ChangeRelay(session)
        self._store_watcher.use_hubs(self._hubs, self._change_relay)
        self._membership = Membership(session, store)
        leaving_tracker = LeavingTracker(session, self._peers)
        self._granter = Granter(
            session, store, protocol, self._peers, leaving_tracker, self._server_reach
        )
        self._server_reach.on_change = self._granter.on_reach_change
        self._store = store
        store.on_new_era = self._on_new_era
        self._store_watcher.on_granter_update = self._granter.wake_election
        # Whoever takes a zone back tells nobody how cold its servers are.
        self._store_watcher.evacuations.on_zone_taken_back = partial(mark_zone_cold, session)
        session.backend_selector.has_idle_connection = lambda b: self._pool.has_idle(
            f"{b.id}/{b.incarnation}"
        )
        self._rate_limiting = RateLimiting(session, self._peers)
        self._relay_client = RelayClient(protocol, session.clock, self._held)
        relaying = Relaying(
            session, self._relay_client, protocol, self._rate_limiting.tracker, leaving_tracker
        )
        placement = Placement(session, self._rate_limiting.permits)
        self._explanations = ExplanationPage(session, placement)
        forwarder = Forwarder(
            session,
            protocol,
            BackendClient(
                self._pool,
                protocol,
                session.clock,
                self._rate_limiting.tracker,
                RestTracker(session),
                leaving_tracker,
                session.reachability,
                self._rate_limiting.cold_tracker,
                LoadTracker(session),
            ),
            placement,
            CrashReports(session, self._peers, self._server_reach),
            relaying,
        )
        self._frontend = Frontend(session, forwarder, protocol, self._held)
        self._relay_frontend = RelayFrontend(session, forwarder, protocol, self._held)
        self._maintenance = Maintenance(session, self._pool, self._store_watcher)
        self._readiness_server = PageServer(self._readiness_page)
        self._metrics_server = PageServer(self._operators_page)
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.Server] = []
        self._stop_requested = asyncio.Event()
        # Name of the control loop that fails again and again, None while all run.
        self._broken_loop: str | None = None
        Machine(
            self,
            states=["new", "serving", "stopping", "stopped"],
            transitions=[
                ["start_serving", "new", "serving"],
                ["start_stopping", "serving", "stopping"],
                ["finish_stopping", "stopping", "stopped"],
            ],
            initial="new",
            after_state_change=self._log_state,
        )

    async def run(self) -> None:
        """Serve until SIGTERM; SIGHUP reloads the settings."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        await self.start()
        await self.serve_until_stopped()

    async def serve_until_stopped(self) -> None:
        """Wait for a stop to be requested and stop; raises SystemExit if a control loop is broken.

        A daemon with a broken loop stops as on SIGTERM, so that its requests are finished and the
        load balancer turns to others; its exit status tells what restarts it of the failure.
        """
        await self._stop_requested.wait()
        await self.stop()
        if self._broken_loop is not None:
            raise SystemExit(1)

    async def start(self) -> None:
        """Open all listeners and start the control loops."""
        settings = self._session.settings
        await self._peers.open()
        for address, create_channel in (
            (settings.readiness, lambda: Channel(self._readiness_server.accept)),
            (settings.metrics, lambda: Channel(self._metrics_server.accept)),
            (settings.peers, lambda: Channel(self._change_relay.accept)),
            (settings.clients, self._frontend.create_channel),
        ):
            await self._listen(address, create_channel)
        try:
            await self._listen(settings.relay, self._relay_frontend.create_channel)
        except OSError as error:
            # Only daemons that reach no server need it, and these can ask others.
            self._session.log.warning(
                "requests of daemons not taken",
                step="listen",
                peer=str(settings.relay),
                reason=str(error),
            )
        for name, run in (
            ("store watch", self._store_watcher.run),
            ("membership", self._membership.run),
            ("granter", self._granter.run),
            ("load reports", self._load_reporter.run),
            ("queue reports", self._queue_reporter.run),
            ("pace reports", self._pace_reporter.run),
            ("key reports", self._peers.report_key_counts),
            ("maintenance", self._maintenance.run),
            ("server reach", self._server_reach.run),
            ("settings watch", self._watch_settings),
        ):
            loop_coroutine = run_control_loop(name, run, self._session, self._on_broken_loop)
            self._tasks.append(asyncio.get_running_loop().create_task(loop_coroutine))
        self.start_serving()  # type: ignore[attr-defined]

    async def stop(self) -> None:
        """Stop in order: report unready, resign as granter, finish the requests in flight."""
        self.start_stopping()  # type: ignore[attr-defined]
        session = self._session
        session.stopping = True
        stop_by_s = session.now_s + session.settings.stop_grace.total_seconds() - CLOSE_RESERVE_S
        session.requests_end_s = stop_by_s - FINAL_RESPONSE_TIMEOUT_S
        # The store may be slow, so this must not delay what follows.
        resignation = asyncio.create_task(self._stop_step("stop granting", self._granter.stop()))
        await asyncio.sleep(UNREADY_LISTEN_S)
        for server in self._servers:
            server.close()
        await asyncio.sleep(FIRST_REQUEST_WAIT_S)
        idle_s = session.requests_end_s - session.now_s
        frontends = (self._frontend, self._relay_frontend)
        for frontend in frontends:
            frontend.close_idle()
        await asyncio.gather(*(frontend.wait_idle(idle_s) for frontend in frontends))
        for task in (resignation, *self._tasks):
            task.cancel()
        await asyncio.gather(resignation, *self._tasks, return_exceptions=True)
        leave_s = max(0.0, stop_by_s + LEAVE_RESERVE_S - session.now_s)
        await self._stop_step("leave", self._membership.leave(leave_s))
        self._change_relay.close()
        self._rate_limiting.close()
        self._pool.close()
        self._relay_client.close()
        self._peers.close()
        self.finish_stopping()  # type: ignore[attr-defined]

    async def _stop_step(self, step: str, call: Coroutine[None, None, None]) -> None:
        """Run a step of the stop; its failure must not keep the requests from being finished."""
        try:
            await call
        except Exception as error:
            self._session.log.warning("step of the stop failed", step=step, error=repr(error))

    def abort(self) -> None:
        """Stop at once, as a crash does; for tests only."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        self._change_relay.close()
        self._rate_limiting.close()
        self._peers.close()
        self._pool.close()
        self._relay_client.close()

    async def _listen(self, address: Address, create_channel: Callable[[], Channel]) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            create_channel, address.host, address.port, backlog=LISTEN_BACKLOG
        )
        self._servers.append(server)

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            if self._settings_source.changed():
                self._on_reload()

    def _on_reload(self) -> None:
        try:
            settings = self._settings_source.read()
        except Exception as error:
            self._session.log.warning(
                "settings not reloaded", step="read settings", reason=str(error)
            )
            return
        self._session.apply_settings(settings)

    def _readiness_page(self, _target: str) -> tuple[int, str]:
        return (200, "ready\n") if self._session.ready else (503, "not ready\n")

    def _operators_page(self, target: str) -> tuple[int, str]:
        """Return the metrics, or the explanation of a request."""
        if target.partition("?")[0] == EXPLANATION_PATH:
            return self._explanations.render(target)
        session = self._session
        gauges = {
            "busy_requests": self._frontend.in_flight,
            "busy_hops": self._relay_frontend.in_flight,
            "backends": len(session.directory.by_id),
            "peers": len(session.peers_by_name),
            "configuration_version": session.configuration.version if session.configuration else 0,
            "connections_opened": self._pool.opened,
            "store_era": self._store.era or 0,
            "store_age_ms": round(session.store_age_s * 1000),
            "servers_unreachable": 1 if session.reachability.cut_off else 0,
            "evacuated_zones": len(session.evacuated_zones),
            "evacuating_ranges": self._store_watcher.evacuations.count_ranges(),
            "cold_servers": session.cold_servers.count(session.now_s),
            "held_bytes": self._held.total_bytes,
            "shared_paces": len(session.latency_estimates.shared),
            "moving_ranges": self._granter.moving_ranges,
            "granting": 1 if session.granter == session.settings.daemon else 0,
        }
        return 200, session.metrics.render({**gauges, **session.class_rooms.gauges()})

    def _on_new_era(self, _last_era: int, _era: int) -> None:
        """Begin again what depends on leases: the store came back from an older copy."""
        self._membership.on_new_era()
        self._granter.on_new_era()

    def _log_state(self) -> None:
        self._session.log.event("daemon state", state=self.state)

    def _on_broken_loop(self, name: str) -> None:
        self._broken_loop = name
        self._stop_requested.set()
