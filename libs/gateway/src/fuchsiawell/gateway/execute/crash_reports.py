"""Tell the other daemons which requests may have crashed servers, and which have not."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.peer_messages import CrashReport, SuspicionCleared
from fuchsiawell.httpio import connect

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.control.server_reach import ServerReach
    from fuchsiawell.gateway.execute.backend_client import Target
    from fuchsiawell.gateway.execute.client_request import ClientRequest
    from fuchsiawell.gateway.session.state import Session

__all__ = ["CrashReports"]

# Timeout of the connection that tests whether a server still listens.
PROBE_TIMEOUT_S = 0.3
# A failure during a cut from all servers is judged after the cut, if that ends within this time.
MAX_CUT_WAIT_S, CUT_POLL_S = 10.0, 0.25
# Failures that are judged at a time; those of a cut all wait for its end.
MAX_PROBES = 256


class CrashReports:
    """Find out whether the server of a failed request has crashed, and report that."""

    def __init__(self, session: Session, peers: PeerMessenger, server_reach: ServerReach) -> None:
        self._session = session
        self._peers = peers
        self._server_reach = server_reach
        self._probes: set[asyncio.Task[None]] = set()

    def start_probe(self, request: ClientRequest, target: Target) -> None:
        """Find out whether a server crashed that gave no response to a request."""
        if len(self._probes) >= MAX_PROBES:
            self._session.metrics.count("crash_probes_dropped")
            return
        task = asyncio.get_running_loop().create_task(self._probe(request, target))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    def clear(self, fingerprint: int) -> None:
        """Clear a request that got a response, here and at the other daemons."""
        if self._session.poison_detector.clear(fingerprint):
            self._peers.broadcast(SuspicionCleared(fingerprint))

    async def _probe(self, request: ClientRequest, target: Target) -> None:
        """Report a suspected crash if the server no longer listens although others do.

        The probe is needed because overloaded servers reset connections too, and the others because
        a daemon that is cut off from all servers can't tell that from a crash.
        """
        started_s = self._session.now_s
        if await self._is_listening(target):
            return
        if not await self._server_reach.confirm(started_s):
            self._log("crash not judged", request, target, why="no server is reached")
            if not await self._wait_for_servers():
                return
            if not self._has_restarted(target) and await self._is_listening(target):
                return
        self._log("crash suspected", request, target)
        self._session.poison_detector.record_crash(
            request.fingerprint, target.incarnation_id, self._session.now_s
        )
        self._peers.broadcast(CrashReport(request.fingerprint, target.incarnation_id))

    async def _is_listening(self, target: Target) -> bool:
        try:
            connection = await connect(target.host, target.port, PROBE_TIMEOUT_S)
        except ConnectionResetError:
            return True
        except OSError:
            return False
        connection.close()
        return True

    async def _wait_for_servers(self) -> bool:
        """Wait for the end of a cut; return whether servers are reached again in time."""
        session = self._session
        until_s = session.now_s + MAX_CUT_WAIT_S
        while session.now_s < until_s:
            await asyncio.sleep(CUT_POLL_S * session.random.uniform(0.5, 1.5))
            if not session.reachability.cut_off and await self._server_reach.confirm():
                return True
        return False

    def _has_restarted(self, target: Target) -> bool:
        backend = self._session.directory.by_id.get(target.backend_id)
        return backend is not None and backend.incarnation_id != target.incarnation_id

    def _log(self, name: str, request: ClientRequest, target: Target, **fields: object) -> None:
        self._session.request_log.write(
            name,
            request=request.request_id,
            route=request.route.name,
            service=request.service,
            key=request.key,
            age_ms=round((self._session.now_s - request.arrived_s) * 1000),
            server=target.backend_id,
            peer=target.peer,
            **fields,
        )
