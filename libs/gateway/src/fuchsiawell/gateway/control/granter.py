"""Elect the granter: the leader among the daemons, which grants key ranges to backend servers."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.assignment_replication import AssignmentReplicator
from fuchsiawell.gateway.control.grant_client import GrantClient
from fuchsiawell.gateway.control.service_granter import ServiceGranter
from fuchsiawell.gateway.control.shard_map_record import GrantingLostError
from fuchsiawell.gateway.control.store_keys import ELECTIONS_PREFIX, GRANTER_KEY
from fuchsiawell.gateway.ports import ConflictError, LeaseLostError, StoreUnavailableError, Write
from fuchsiawell.shards import GrantTiming

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.leaving_tracker import LeavingTracker
    from fuchsiawell.gateway.control.peer_messages import KeyCountReport
    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.control.server_reach import ServerReach
    from fuchsiawell.gateway.ports import BackendProtocol, Item, Store
    from fuchsiawell.gateway.session.state import Session

__all__ = ["Granter"]

# Duration of the granter's lease, the shortest that the platform allows: a successor renews the
# grants of a lost granter well before they expire (2.5 s).
LEASE_TTL = timedelta(seconds=1)
LEASE_RENEWAL_S = 0.3
# Delay before a daemon asks again whether it was elected, when the store has not answered.
CLAIM_RETRY_DELAY_S = 0.05
# Longest random delay before a daemon tries to become granter, so that few try at a time.
ELECTION_JITTER_S = 0.1
# A daemon whose host has less than this share of the largest capacity waits this much longer
# before it tries, which gives the others two rounds of attempts.
LOW_CAPACITY_RATIO, LOW_CAPACITY_DELAY_S = 0.7, 0.2
# A response to a grant takes less than this.
MAX_GRANT_DELAY_S = 0.2
# Interval between checks when no update triggers one.
POLL_INTERVAL_S = 0.5


class Granter:
    """Become the granter when there is none, and stop granting when another daemon takes over."""

    def __init__(
        self,
        session: Session,
        store: Store,
        protocol: BackendProtocol,
        peers: PeerMessenger,
        leaving_tracker: LeavingTracker,
        server_reach: ServerReach,
    ) -> None:
        self._session = session
        self._store = store
        self._protocol = protocol
        self._peers = peers
        self._leaving_tracker = leaving_tracker
        self._server_reach = server_reach
        self._replicator = AssignmentReplicator(session, peers)
        self._timing = GrantTiming()
        self._granter_updated = asyncio.Event()
        self._reach_changed = asyncio.Event()
        self._granter_by_service: dict[str, ServiceGranter] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._lease_id: int | None = None
        # Era of the store that gave the lease, and the revision of the write of the election.
        self._lease_era: int | None = None
        self._elected_at = 0
        self._superseded = False
        peers.on_terms = self._on_terms
        peers.on_key_report = self._on_key_report

    @property
    def moving_ranges(self) -> int:
        """Return the number of ranges that this daemon moves as the granter."""
        return sum(self._granter_by_service[name].moving_ranges for name in self._tasks)

    def wake_election(self) -> None:
        """Check now whether a granter is needed, instead of at the next poll."""
        self._granter_updated.set()

    def on_reach_change(self) -> None:
        """Stop granting, or stand for election, at once when a cut has begun or ended."""
        self._reach_changed.set()
        self._granter_updated.set()

    def on_new_era(self) -> None:
        """Stop granting, or stand for election, at once: the store came back from a copy."""
        self.on_reach_change()

    async def run(self) -> None:
        """Stand for election while there is no granter, grant while elected; until cancelled."""
        while True:
            try:
                if await self._win_election():
                    await self._grant_until_superseded()
            except StoreUnavailableError as error:
                self._session.metrics.count("store_failures", error.step)
                await asyncio.sleep(POLL_INTERVAL_S * self._session.random.uniform(0.5, 1.0))
            self._granter_updated.clear()
            if not self._sharded_services():
                await asyncio.sleep(ELECTION_JITTER_S)
            elif self._session.granter is not None and not self._may_stand():
                try:
                    async with asyncio.timeout(POLL_INTERVAL_S * 4):
                        await self._granter_updated.wait()
                except TimeoutError:
                    continue
            await asyncio.sleep(self._election_delay_s())

    async def stop(self) -> None:
        """Stop granting and end the lease before a planned stop, so that a successor can start."""
        lease_id = self._lease_id
        if lease_id is None:
            return
        await self._stop_service_granters()
        await self._record_ends()
        if self._store.era != self._lease_era:
            return
        try:
            await self._store.revoke_lease(lease_id)
        except StoreUnavailableError as error:
            self._session.log.warning(
                "granter lease not ended, it will expire",
                step=error.step,
                peer=error.peer,
                reason=error.reason,
            )

    async def _win_election(self) -> bool:
        session = self._session
        if not self._may_stand() or not await self._server_reach.confirm():
            return False
        if not self._may_stand():
            return False
        lease_id = await self._store.open_lease(LEASE_TTL)
        self._lease_era = self._store.era
        try:
            elected = await self._claim_key(lease_id)
        except StoreUnavailableError:
            # A claim that the store carries out late is refused without its lease.
            await self._end_lease(lease_id)
            raise
        if not elected or self._store.era != self._lease_era:
            await self._end_lease(lease_id)
            await asyncio.sleep(POLL_INTERVAL_S)
            return False
        self._lease_id = lease_id
        session.granter = session.settings.daemon
        session.log.event("granter elected", granter=session.granter, lease=lease_id)
        return True

    async def _claim_key(self, lease_id: int) -> bool:
        """Write the granter's key if there is none; return whether this daemon owns it."""
        try:
            await self._write_claim(lease_id, 0)
        except ConflictError:
            return await self._replace_own_claim(lease_id)
        except LeaseLostError:
            return False
        except StoreUnavailableError as error:
            if not error.maybe_applied:
                raise
            # Nobody else can be elected while the key is there, so its owner must know of it.
            return await self._owns_key(lease_id)
        return True

    async def _write_claim(self, lease_id: int, expected_revision: int) -> None:
        name = self._session.settings.daemon.encode()
        self._elected_at = await self._store.write(
            [
                Write(GRANTER_KEY, name, lease_id, expected_revision),
                Write(self._election_key, name, lease_id),
            ]
        )

    async def _replace_own_claim(self, lease_id: int) -> bool:
        """Claim the key again if it is this daemon's, from a copy of the store."""
        if self._store.era is None:
            return False
        item = await self._store.get(GRANTER_KEY)
        if item is None or not self._is_own(item):
            return False
        try:
            await self._write_claim(lease_id, item.revision)
        except (ConflictError, LeaseLostError):
            return False
        return True

    @property
    def _election_key(self) -> str:
        return ELECTIONS_PREFIX + self._session.settings.daemon

    def _is_own(self, item: Item) -> bool:
        return item.value == self._session.settings.daemon.encode()

    async def _owns_key(self, lease_id: int) -> bool:
        """Return whether the granter's key is written under a lease, asking more than once."""
        ask_until_s = self._session.now_s + LEASE_TTL.total_seconds() / 2
        while True:
            try:
                item = await self._store.get(GRANTER_KEY)
            except StoreUnavailableError:
                if self._session.now_s >= ask_until_s:
                    raise
                await asyncio.sleep(CLAIM_RETRY_DELAY_S)
            else:
                if item is None or item.lease != lease_id or not self._is_own(item):
                    return False
                election = await self._store.get(self._election_key)
                if election is None or election.lease != lease_id:
                    return False
                self._elected_at = election.revision
                return True

    def _may_stand(self) -> bool:
        session = self._session
        # A copy of the store may hold the key of an earlier election of this daemon.
        holds_stale_key = (
            self._store.era is not None
            and self._lease_id is None
            and session.granter == session.settings.daemon
        )
        return (
            (session.granter is None or holds_stale_key)
            and not session.stopping
            and bool(self._sharded_services())
        )

    async def _grant_until_superseded(self) -> None:
        """Grant until another daemon takes over, or this one can't go on.

        That is when the lease, the store or all servers are lost, or a task has ended.
        """
        assert self._lease_id is not None
        session = self._session
        last_contact_s = session.now_s
        self._superseded = False
        try:
            while not self._superseded:
                if self._store.era != self._lease_era:
                    session.log.warning("granting stopped", why="the store came back from a copy")
                    await self._stop_service_granters()
                    break
                if self._reaches_no_owner():
                    session.log.warning("granting stopped", why="no server is reached")
                    # No call of these terms may be sent once a successor can be elected.
                    await self._stop_service_granters()
                    break
                self._start_service_granters()
                if any(task.done() for task in self._tasks.values()):
                    break
                if session.now_s - last_contact_s > self._timing.renew_without_store_s:
                    session.log.warning("granting stopped", why="store unavailable for too long")
                    break
                try:
                    await self._store.renew_lease(self._lease_id)
                    last_contact_s = session.now_s
                except StoreUnavailableError as error:
                    session.metrics.count("store_failures", error.step)
                await self._wait_for_renewal()
        except LeaseLostError:
            session.log.event("granter lease ended")
        finally:
            self._cancel_service_granters()
            session.log.event("granting ended", outdated=self._superseded)
        if self._lease_id is not None and not session.stopping:
            lease_id, self._lease_id = self._lease_id, None
            if session.granter == session.settings.daemon:
                session.granter = None
            await self._end_lease(lease_id)
            if session.reachability.cut_off:
                # After the end of the lease: the watches of other daemons pause after a change.
                await self._record_ends(lease_ended=True)

    async def _end_lease(self, lease_id: int) -> None:
        """End a lease, unless the store has come back from a copy: its id may be another's then."""
        if self._store.era == self._lease_era:
            await self._store.revoke_lease(lease_id)

    def _reaches_no_owner(self) -> bool:
        """Return whether grants are surely not answered any more.

        They may be in a cut, on open connections, where no new ones can be opened.
        """
        reachability = self._session.reachability
        silent_since_s = self._session.now_s - self._timing.renew_interval_s - MAX_GRANT_DELAY_S
        return reachability.cut_off and not reachability.reached_since(silent_since_s)

    async def _wait_for_renewal(self) -> None:
        """Wait until the lease is to be renewed, or until a cut from all servers begins or ends."""
        self._reach_changed.clear()
        try:
            async with asyncio.timeout(LEASE_RENEWAL_S):
                await self._reach_changed.wait()
        except TimeoutError:
            return

    async def _stop_service_granters(self) -> None:
        """Stop all calls to owners; return when none can be sent any more."""
        tasks = list(self._tasks.values())
        self._cancel_service_granters()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _record_ends(self, lease_ended: bool = False) -> None:
        """Record in the store that the terms have ended."""
        granters = self._granter_by_service.values()
        await asyncio.gather(*(granter.stop(lease_ended) for granter in granters))

    def _election_delay_s(self) -> float:
        """Return the delay before an attempt; hosts with more capacity go first."""
        session = self._session
        max_capacity = max(
            (peer.capacity_cores for peer in session.peers_by_name.values()), default=0.0
        )
        low_capacity = session.local_peer.capacity_cores < LOW_CAPACITY_RATIO * max_capacity
        return ELECTION_JITTER_S * session.random.random() + (
            LOW_CAPACITY_DELAY_S if low_capacity else 0.0
        )

    def _sharded_services(self) -> list[str]:
        configuration = self._session.configuration
        if configuration is None:
            return []
        return [name for name, service in configuration.services.items() if service.sharded]

    def _start_service_granters(self) -> None:
        for service in self._sharded_services():
            if service in self._tasks:
                continue
            service_granter = ServiceGranter(
                service,
                self._session,
                self._store,
                self._peers,
                self._replicator,
                self._timing,
                lambda owner: GrantClient(
                    owner,
                    self._protocol,
                    self._leaving_tracker,
                    self._session.reachability,
                    self._session.clock,
                ),
                ((self._election_key, self._elected_at),),
            )
            self._granter_by_service[service] = service_granter
            task = asyncio.get_running_loop().create_task(service_granter.run())
            task.add_done_callback(self._on_granter_done)
            self._tasks[service] = task

    def _on_granter_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        match error:
            case None:
                return
            case GrantingLostError():
                self._superseded = True
            case StoreUnavailableError():
                self._session.log.warning(
                    "granting a service stopped, store unavailable", reason=str(error)
                )
            case _:
                self._session.log.warning("granting a service failed", reason=repr(error))

    def _cancel_service_granters(self) -> None:
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()

    def _on_terms(self, sender: str, terms: dict[str, int]) -> None:
        for service_granter in self._granter_by_service.values():
            if self._tasks and service_granter.apply_terms(sender, terms):
                self._superseded = True

    def _on_key_report(self, report: KeyCountReport) -> None:
        service_granter = self._granter_by_service.get(report.service)
        if service_granter is not None:
            service_granter.key_rates.add(report.counts, self._session.now_s)
            service_granter.latency_factors.apply_report(report.latency_percent)
