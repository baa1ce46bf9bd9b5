"""Elect the daemon that grants keys, and let it grant while the store or its lease allows."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.grant_client import GrantClient
from fuchsiawell.gateway.control.service_grants import ServiceGranter
from fuchsiawell.gateway.control.shard_map_record import GrantingLostError
from fuchsiawell.gateway.control.store_keys import GRANTER_KEY
from fuchsiawell.gateway.ports import ConflictError, LeaseEndedError, StoreUnavailableError, Write
from fuchsiawell.shards import GrantTiming

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.peer_messages import KeyCountReport
    from fuchsiawell.gateway.control.peers import Peers
    from fuchsiawell.gateway.ports import BackendProtocol, Store
    from fuchsiawell.gateway.session.state import Session

__all__ = ["Granter"]

# Life of the granter's lease: the platform's shortest. A successor renews the grants of a lost
# granter well before they run out (2.5 s).
LEASE_LIFE = timedelta(seconds=1)
KEEP_S = 0.3
# Longest random pause before a daemon tries to become granter, so that few try at a time.
SPREAD_S = 0.1
# A host that bears less than this part of what the strongest bears lets others go first, by this
# time in seconds: two rounds of tries of the others.
WEAK_PART, WEAK_WAIT_S = 0.7, 0.2
# Pause between looks when nothing calls for one, in seconds.
IDLE_S = 0.5


class Granter:
    """Become the granter when there is none, and stop when another one is."""

    def __init__(
        self, session: Session, store: Store, protocol: BackendProtocol, peers: Peers
    ) -> None:
        self._session = session
        self._store = store
        self._protocol = protocol
        self._peers = peers
        self._timing = GrantTiming()
        self._vacant = asyncio.Event()
        self._by_service: dict[str, ServiceGranter] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._lease: int | None = None
        self._outdated = False
        peers.on_terms = self._heard_terms
        peers.on_key_report = self._heard_keys

    def wake_election(self) -> None:
        """Look whether there is a granter."""
        self._vacant.set()

    async def run(self) -> None:
        """Try to be the granter for ever."""
        while True:
            try:
                if await self._win_election():
                    await self._serve()
            except StoreUnavailableError as error:
                self._session.metrics.count("store_failures", error.step)
                await asyncio.sleep(IDLE_S * self._session.random.uniform(0.5, 1.0))
            self._vacant.clear()
            if not self._services():
                await asyncio.sleep(SPREAD_S)
            elif self._session.granter is not None:
                try:
                    async with asyncio.timeout(IDLE_S * 4):
                        await self._vacant.wait()
                except TimeoutError:
                    continue
            await asyncio.sleep(self._head_start_s())

    async def stop(self) -> None:
        """Hand over before a planned stop."""
        if self._lease is None:
            return
        self._cancel_grants()
        for grants in self._by_service.values():
            await grants.stop()
        try:
            await self._store.end_lease(self._lease)
        except StoreUnavailableError as error:
            self._session.log.warning(
                "granter lease left to lapse", step=error.step, peer=error.peer, reason=error.reason
            )

    async def _win_election(self) -> bool:
        session = self._session
        if session.granter is not None or not self._services() or session.stopping:
            return False
        lease = await self._store.open_lease(LEASE_LIFE)
        try:
            write = Write(GRANTER_KEY, session.settings.daemon.encode(), lease, 0)
            await self._store.write([write])
        except (ConflictError, LeaseEndedError):
            await self._store.end_lease(lease)
            await asyncio.sleep(IDLE_S)
            return False
        self._lease = lease
        session.granter = session.settings.daemon
        session.log.event("granter elected", granter=session.granter, lease=lease)
        return True

    async def _serve(self) -> None:
        assert self._lease is not None
        session = self._session
        contact_s = session.now_s
        self._outdated = False
        try:
            while not self._outdated:
                self._start_services()
                if any(task.done() for task in self._tasks.values()):
                    break
                if session.now_s - contact_s > self._timing.renew_without_store_s:
                    session.log.warning("granting stopped", why="store away too long")
                    break
                try:
                    await self._store.keep_lease(self._lease)
                    contact_s = session.store_contact_s = session.now_s
                except StoreUnavailableError as error:
                    session.metrics.count("store_failures", error.step)
                await asyncio.sleep(KEEP_S)
        except LeaseEndedError:
            session.log.event("granter lease ended")
        finally:
            self._cancel_grants()
            session.log.event("granting ended", outdated=self._outdated)
        if self._lease is not None and not session.stopping:
            lease, self._lease = self._lease, None
            if session.granter == session.settings.daemon:
                session.granter = None
            await self._store.end_lease(lease)

    def _head_start_s(self) -> float:
        """Return a pause that lets hosts which bear more go first."""
        session = self._session
        most = max((peer.strength for peer in session.peers_by_name.values()), default=0.0)
        weak = session.me.strength < WEAK_PART * most
        return SPREAD_S * session.random.random() + (WEAK_WAIT_S if weak else 0.0)

    def _services(self) -> list[str]:
        configuration = self._session.configuration
        if configuration is None:
            return []
        return [name for name, service in configuration.services.items() if service.sharded]

    def _start_services(self) -> None:
        for service in self._services():
            if service in self._tasks:
                continue
            grants = ServiceGranter(
                service,
                self._session,
                self._store,
                self._peers,
                self._timing,
                lambda owner: GrantClient(owner, self._protocol),
            )
            self._by_service[service] = grants
            task = asyncio.get_running_loop().create_task(grants.run())
            task.add_done_callback(self._ended)
            self._tasks[service] = task

    def _ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        match error:
            case None:
                return
            case GrantingLostError():
                self._outdated = True
            case StoreUnavailableError():
                self._session.log.warning("granting gave up", reason=str(error))
            case _:
                self._session.log.warning("granting failed", reason=repr(error))

    def _cancel_grants(self) -> None:
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()

    def _heard_terms(self, sender: str, terms: dict[str, int]) -> None:
        for grants in self._by_service.values():
            if self._tasks and grants.heard_terms(sender, terms):
                self._outdated = True

    def _heard_keys(self, report: KeyCountReport) -> None:
        grants = self._by_service.get(report.service)
        if grants is not None:
            grants.rates.add(report.counts, self._session.now_s)
            grants.paces.take(report.paces)
