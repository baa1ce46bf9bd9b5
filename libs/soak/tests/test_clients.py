"""The soak's requests must reach the daemon that they are counted for."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any, cast

from fuchsiawell.core import SystemClock
from fuchsiawell.soak.clients import Clients
from fuchsiawell.soak.invariants import InvariantChecker
from fuchsiawell.soak.leaving_audit import LeavingAudit
from fuchsiawell.soak.recover_audit import RecoverAudit

from standins.backend_server import BackendServer


@dataclass(frozen=True)
class FakeDaemon:
    name: str
    client_port: int


# Guards against probes of one daemon on a connection that was kept to another: they tested another
# daemon than they were meant for and counted for.
async def test_probe_of_a_daemon_uses_no_connection_to_another() -> None:
    servers = [BackendServer(f"i-{number}", "s", SystemClock()) for number in range(2)]
    try:
        for server in servers:
            await server.start()
        daemons = [cast("Any", FakeDaemon(server.id, server.port)) for server in servers]
        clients = Clients(daemons, InvariantChecker(), Random(1), LeavingAudit(), RecoverAudit())
        for daemon in daemons * 2:
            await clients.send_request(daemon, 7)
        assert [len(server.executed) for server in servers] == [2, 2]
    finally:
        clients.stop()
        for server in servers:
            await server.stop()
