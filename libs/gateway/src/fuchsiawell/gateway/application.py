"""The daemon: its parts, and the order in which they start and stop."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from transitions import Machine

from fuchsiawell.gateway.control.change_relay import ChangeRelay
from fuchsiawell.gateway.control.granter import Granter
from fuchsiawell.gateway.control.hubs import Hubs
from fuchsiawell.gateway.control.load_reporter import LoadReporter
from fuchsiawell.gateway.control.maintenance import Maintenance
from fuchsiawell.gateway.control.membership import Membership
from fuchsiawell.gateway.control.peers import Peers
from fuchsiawell.gateway.control.store_watcher import StoreWatcher
from fuchsiawell.gateway.execute.backend_client import BackendClient
from fuchsiawell.gateway.execute.connection_pool import ConnectionPool
from fuchsiawell.gateway.execute.forwarder import Forwarder
from fuchsiawell.gateway.execute.frontend import LAST_ANSWERS_S, Frontend
from fuchsiawell.gateway.execute.placement import Placement
from fuchsiawell.gateway.operators.page_server import PageServer
from fuchsiawell.httpio import Channel

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from fuchsiawell.gateway.config.settings import Address
    from fuchsiawell.gateway.ports import BackendProtocol, RecordDecoder, SettingsSource, Store
    from fuchsiawell.gateway.session.state import Session

__all__ = ["Application"]

# After the order to stop, new connections still come until the balancer has asked twice in vain:
# it asks once a second.
LISTEN_ON_S = 2.4
# Time kept back from the grace for closing, in seconds.
CLOSING_S = 0.5
# Of it, time for the last call to the store, which may be away; the process needs the rest to end.
LEAVING_S = 0.25
BACKLOG = 512
# Between two looks whether the settings have changed without a signal, in seconds.
SETTINGS_S = 1.0


class Application:
    """Run one daemon: start, serve, stop in order."""

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
        self._pools = ConnectionPool(session.clock, lambda: session.daemons)
        self._peers = Peers(session)
        self._follower = StoreWatcher(session, store, records)
        self._hubs = Hubs(session)
        self._load_reports = LoadReporter(session, self._peers, self._hubs)
        self._peers.on_load_report = self._load_reports.apply
        self._relay = ChangeRelay(session)
        self._follower.use_hubs(self._hubs, self._relay)
        self._membership = Membership(session, store)
        self._granter = Granter(session, store, protocol, self._peers)
        self._follower.on_granter_update = self._granter.wake_election
        session.chooser.has_idle_connection = lambda b: self._pools.has_idle(f"{b.id}/{b.born}")
        relay = Forwarder(
            session,
            protocol,
            BackendClient(self._pools, protocol, session.clock),
            Placement(session),
            self._peers,
        )
        self._front = Frontend(session, relay, protocol)
        self._upkeep = Maintenance(session, self._pools, self._follower)
        self._readiness = PageServer(self._readiness_page)
        self._metrics = PageServer(self._metrics_page)
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.Server] = []
        self._stop = asyncio.Event()
        Machine(
            self,
            states=["new", "serving", "stopping", "stopped"],
            transitions=[
                ["begin", "new", "serving"],
                ["wind_down", "serving", "stopping"],
                ["end", "stopping", "stopped"],
            ],
            initial="new",
            after_state_change=self._log_state,
        )

    async def run(self) -> None:
        """Serve until told to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        await self.start()
        await self._stop.wait()
        await self.stop()

    async def start(self) -> None:
        """Listen and begin to follow the store."""
        settings = self._session.settings
        await self._peers.open()
        for address, accept in (
            (settings.readiness, self._readiness.accept),
            (settings.metrics, self._metrics.accept),
            (settings.peers, self._relay.accept),
            (settings.clients, self._front.accept),
        ):
            await self._listen(address, accept)
        for work in (
            self._follower.run(),
            self._membership.run(),
            self._granter.run(),
            self._load_reports.run(),
            self._peers.report_key_counts(),
            self._upkeep.run(),
            self._watch_settings(),
        ):
            self._tasks.append(loop_task(work, self._session))
        self.begin()  # type: ignore[attr-defined]

    async def stop(self) -> None:
        """Leave in order: unready, hand the granting over, finish what is in hand."""
        self.wind_down()  # type: ignore[attr-defined]
        session = self._session
        session.stopping = True
        stop_by_s = session.now_s + session.settings.stop_grace.total_seconds() - CLOSING_S
        listen_until_s = session.now_s + LISTEN_ON_S
        await self._granter.stop()
        await asyncio.sleep(max(0.0, listen_until_s - session.now_s))
        for server in self._servers:
            server.close()
        self._front.close_idle()
        await self._front.wait_idle(stop_by_s - LAST_ANSWERS_S - session.now_s)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._membership.leave(max(0.0, stop_by_s + LEAVING_S - session.now_s))
        self._relay.close()
        self._pools.close()
        self._peers.close()
        self.end()  # type: ignore[attr-defined]

    def abort(self) -> None:
        """End at once, as a crash does; for tests."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        self._relay.close()
        self._peers.close()
        self._pools.close()

    async def _listen(self, address: Address, accept: Callable[[Channel], None]) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: Channel(accept), address.host, address.port, backlog=BACKLOG
        )
        self._servers.append(server)

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_S)
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
        self._session.take_settings(settings)

    def _readiness_page(self) -> tuple[int, str]:
        return (200, "ready\n") if self._session.ready else (503, "not ready\n")

    def _metrics_page(self) -> tuple[int, str]:
        session = self._session
        gauges = {
            "busy_requests": self._front.busy,
            "backends": len(session.directory.by_id),
            "peers": len(session.peers_by_name),
            "configuration_version": session.configuration.version if session.configuration else 0,
            "connections_opened": self._pools.opened,
            "granting": 1 if session.granter == session.settings.daemon else 0,
        }
        return 200, session.metrics.render(gauges)

    def _log_state(self) -> None:
        self._session.log.event("daemon state", state=self.state)


def loop_task(work: Coroutine[None, None, None], session: Session) -> asyncio.Task[None]:
    """Run a control loop; its unexpected end is logged and ends the process."""
    task = asyncio.get_running_loop().create_task(work)

    def ended(done: asyncio.Task[None]) -> None:
        if done.cancelled():
            return
        error = done.exception()
        session.log.warning("control loop ended", reason=repr(error))
        if error is not None:
            raise SystemExit(1) from error

    task.add_done_callback(ended)
    return task
