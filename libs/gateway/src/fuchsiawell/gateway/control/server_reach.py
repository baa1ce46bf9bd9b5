"""Find out whether this daemon reaches any backend server, and when it does again."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from fuchsiawell.httpio import connect

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from fuchsiawell.gateway.execute.connection_pool import ConnectionPool
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.routing import Backend

__all__ = ["ServerReach"]

ROUND_INTERVAL_S = 0.1
# Servers to probe in a round, started one after the other: where servers are reached, the first
# one responds before the second is due.
MAX_PROBES, PROBE_STAGGER_S = 6, 0.04
PROBE_TIMEOUT_S = 0.4
# A cut may also accept a connection and reset it at once: it must stay open for this long.
PROBE_SETTLE_S = 0.03
# A timeout that comes later than this shows that the process stood still: the connection may have
# been open in time.
MAX_TIMEOUT_DELAY_S = 0.2
# No further round this long after one that reached a server, or that overload may explain.
REST_S = 1.0
# The same after the first of those in a row: a cut shows soon, as then no responses arrive.
FIRST_REST_S = 0.4
# Interval between probes while cut off, with jitter, since many daemons may be cut off together.
CUT_OFF_INTERVAL_S, CUT_OFF_JITTER = 0.25, 0.3
# A request is overdue, as a sign of a cut, after this time and this many times the expected one.
OVERDUE_S, OVERDUE_FACTOR = 0.4, 2.5
# A new connection this young proves that servers are reached.
MAX_PROOF_AGE_S = 0.3


class ServerReach:
    """Probe servers while `session.reachability` suspects or knows that none is reached.

    Nothing is sent as long as requests and grants get responses.
    """

    def __init__(self, session: Session, pool: ConnectionPool) -> None:
        self._session = session
        self._pool = pool
        # Called when a cut has begun or ended.
        self.on_change: Callable[[], None] | None = None
        self._round: asyncio.Task[None] | None = None
        self._round_started_s = 0.0
        self._next_probe_s = float("-inf")
        self._probe_results: Counter[str] = Counter()
        # Whether the process stood still during the present round, so that failures tell nothing.
        self._stood_still = False
        # Whether a probe of the present round failed as it does at overloaded servers too, and
        # whether that explained the failures of the last round.
        self._overload_possible = self._overload_seen = False

    async def run(self) -> None:
        """Check at each interval until cancelled."""
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S)
            await self.check()

    async def check(self) -> None:
        """Probe servers if that is due."""
        session = self._session
        now_s = session.now_s
        self._record_overdue(now_s)
        self._select_reported_load(now_s)
        if now_s < self._next_probe_s:
            return
        if session.reachability.cut_off or self._suspected(now_s):
            await self._join_round()

    async def confirm(self, since_s: float | None = None) -> bool:
        """Return whether a server has accepted a new connection after `since_s`.

        Without a time, one of the last MAX_PROOF_AGE_S counts. Opens connections if there is none.
        """
        session = self._session
        if since_s is None:
            since_s = session.now_s - MAX_PROOF_AGE_S
        while not session.reachability.cut_off:
            if session.reachability.connected_since(since_s) or not session.directory.by_id:
                return True
            conclusive = self._round is None or self._round_started_s > since_s
            await self._join_round()
            if conclusive:
                return session.reachability.connected_since(since_s)
        return False

    @property
    def _is_quiet(self) -> bool:
        return self._session.reachability.is_quiet(self._session.now_s)

    def _suspected(self, now_s: float) -> bool:
        session = self._session
        return session.reachability.suspected(now_s, len(session.directory.by_id))

    def _record_overdue(self, now_s: float) -> None:
        """Count requests without a response as failures while no server responds."""
        session = self._session
        reachability = session.reachability
        reachability.record_overdue(now_s)
        if not session.in_flight or not reachability.is_quiet(now_s):
            return
        for request in session.in_flight.values():
            limit_s = max(OVERDUE_S, OVERDUE_FACTOR * request.expected_duration_s)
            if not request.overdue_counted and now_s - request.started_s > limit_s:
                request.overdue_counted = True
                reachability.record_failure(request.backend_id, now_s)

    def _select_reported_load(self, now_s: float) -> None:
        """Report no load to others while the own requests hang in a cut: servers don't have it."""
        session = self._session
        reachability = session.reachability
        impaired = reachability.cut_off or self._suspected(now_s)
        session.in_flight_counts.reports_own = not (impaired and reachability.is_quiet(now_s))

    async def _join_round(self) -> None:
        """Wait for the round of probes under way, or for a new one."""
        if self._round is None:
            self._round_started_s = self._session.now_s
            self._round = asyncio.get_running_loop().create_task(self._run_round())
            self._round.add_done_callback(self._on_round_done)
        await asyncio.shield(self._round)

    def _on_round_done(self, task: asyncio.Task[None]) -> None:
        self._round = None
        if not task.cancelled():
            # Those who wait for the round get its exception too.
            task.exception()

    async def _run_round(self) -> None:
        session = self._session
        reachability = session.reachability
        was_cut_off = reachability.cut_off
        inputs = {
            "failed": len(reachability.failed_ids),
            "servers": len(session.directory.by_id),
        }
        self._probe_results.clear()
        self._stood_still = self._overload_possible = False
        if was_cut_off:
            reached = await self._probe_for_end()
            jitter = session.random.uniform(1.0 - CUT_OFF_JITTER, 1.0 + CUT_OFF_JITTER)
            rest_s = CUT_OFF_INTERVAL_S * jitter
        else:
            reached = await self._reach_any(self._candidates())
            rest_s = REST_S if reached else 0.0
        now_s = session.now_s
        if not reached and self._stood_still:
            session.metrics.count("server_probes_discarded", "stood still")
            return
        if not reached and not was_cut_off and self._overload_possible and not self._is_quiet:
            session.metrics.count("server_probes_discarded", "overload")
            self._next_probe_s = now_s + (REST_S if self._overload_seen else FIRST_REST_S)
            self._overload_seen = True
            return
        self._overload_seen = False
        self._next_probe_s = now_s + rest_s
        if not was_cut_off or not reached:
            reachability.record_probes(reached, now_s)
        if reachability.cut_off != was_cut_off:
            self._on_change(inputs)

    async def _probe_for_end(self) -> bool:
        """Probe one server, and if it is reached a second one; return whether the cut has ended."""
        session = self._session
        reachability = session.reachability
        candidates = self._candidates()
        if not candidates:
            return False
        # A request may have reached a server since the last probe.
        first = candidates[0]
        if not reachability.reached_since(self._round_started_s - CUT_OFF_INTERVAL_S):
            first = session.random.choice(list(session.directory.by_id.values()))
        if not await self._reach_any([first]):
            return False
        reachability.record_probes(reached=True, now_s=session.now_s)
        others = [backend for backend in candidates if backend.id != first.id]
        # One server that is reached for sure is better than none, so it may be the same.
        if not await self._reach_any([*others, first]):
            return False
        reachability.record_probes(reached=True, now_s=session.now_s)
        return True

    def _candidates(self) -> list[Backend]:
        """Return the servers to probe in a round, the likeliest first, spread over services."""
        session = self._session
        reachability = session.reachability
        backends = list(session.directory.by_id.values())
        session.random.shuffle(backends)
        rank_by_group: Counter[tuple[str, str]] = Counter()
        ranked: list[tuple[bool, bool, int, int, Backend]] = []
        last_contact = max(
            backends, key=lambda backend: reachability.contact_s(backend.id), default=None
        )
        for number, backend in enumerate(backends):
            rank = rank_by_group[backend.service, backend.zone]
            rank_by_group[backend.service, backend.zone] += 1
            failed = backend.id in reachability.failed_ids
            ranked.append((backend is not last_contact, failed, rank, number, backend))
        ranked.sort(key=lambda entry: entry[:4])
        return [entry[4] for entry in ranked[:MAX_PROBES]]

    async def _reach_any(self, backends: Sequence[Backend]) -> bool:
        """Probe servers, each a moment after the one before, until one is reached."""
        pending: set[asyncio.Task[bool]] = set()
        try:
            for number, backend in enumerate(backends, 1):
                pending.add(asyncio.get_running_loop().create_task(self._probe(backend)))
                last = number == len(backends)
                while pending:
                    done, pending = await asyncio.wait(
                        pending,
                        timeout=None if last else PROBE_STAGGER_S,
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                    if any(task.result() for task in done):
                        return True
                    if not last:
                        break
            return False
        finally:
            for task in pending:
                task.cancel()

    async def _probe(self, backend: Backend) -> bool:
        """Return whether a server accepts a connection, which then goes to the pool."""
        session = self._session
        session.metrics.count("server_probes")
        started_s = session.now_s
        try:
            connection = await connect(backend.host, backend.port, PROBE_TIMEOUT_S)
        except OSError as error:
            if session.now_s - started_s > PROBE_TIMEOUT_S + MAX_TIMEOUT_DELAY_S:
                self._stood_still = True
            if isinstance(error, (TimeoutError, ConnectionResetError)):
                self._overload_possible = True
            if not self._stood_still and not isinstance(error, ConnectionResetError):
                session.cold_servers.record_unreachable(backend.id)
            return self._record_failure(backend, str(error) or "timed out")
        try:
            await asyncio.sleep(PROBE_SETTLE_S)
        except asyncio.CancelledError:
            connection.abort()
            raise
        if not connection.usable:
            connection.abort()
            self._overload_possible = True
            return self._record_failure(backend, "closed at once")
        session.reachability.record_connected(backend.id, session.now_s)
        self._pool.release(backend.incarnation_id, connection, session.now_s)
        return True

    def _record_failure(self, backend: Backend, reason: str) -> bool:
        self._probe_results[reason] += 1
        self._session.reachability.record_failure(backend.id, self._session.now_s)
        return False

    def _on_change(self, inputs: dict[str, int]) -> None:
        session = self._session
        reachability = session.reachability
        since_s = session.now_s - reachability.impaired_since_s
        if reachability.cut_off:
            session.metrics.count("server_cuts")
            session.log.warning(
                "servers unreachable",
                probes=dict(self._probe_results),
                failing_s=round(since_s, 3),
                **inputs,
            )
            if self._is_quiet:
                self._pool.discard_all()
        else:
            session.log.event("servers reached again", cut_s=round(since_s, 3), **inputs)
            session.outlier_detector.discard_failures_since(reachability.impaired_since_s)
        session.wake()
        if self.on_change is not None:
            self.on_change()
