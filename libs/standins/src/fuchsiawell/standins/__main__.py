"""Start a stand-in as a process of its own."""

from __future__ import annotations

import sys
from pathlib import Path  # noqa: TC003 - defopt reads the type at run time

import defopt
from pydantic import TypeAdapter

from fuchsiawell.core import SystemClock
from fuchsiawell.platform.http_hosts import HostModel
from fuchsiawell.standins.backend import (
    Backend,
    BackendSettings,
    BehaviourModel,
    ExecutionLog,
    limited_protocol,
)
from fuchsiawell.standins.faults import CapacityFaults
from fuchsiawell.standins.hosts_server import hosts_app
from fuchsiawell.standins.lagged import Lagged
from fuchsiawell.standins.memory_store import MemoryStore
from fuchsiawell.standins.serving import server_of
from fuchsiawell.standins.store_server import store_app


def store(*, port: int, reads_per_s: float = 2_000.0, writes_per_s: float = 400.0) -> None:
    """Serve the key-value service, empty.

    :param port: port on the loopback address
    :param reads_per_s: reads that it handles, more wait or are refused
    :param writes_per_s: writes that it handles, more wait or are refused
    """
    clock = SystemClock()
    capacity = CapacityFaults(clock, reads_per_s, writes_per_s)
    server_of(store_app(MemoryStore(clock, capacity)), port).run()


def hosts(*, port: int, list_file: Path | None = None, lag_s: float = 0.0) -> None:
    """Serve the list of hosts.

    :param port: port on the loopback address
    :param list_file: JSON list of hosts to start with; empty without
    :param lag_s: seconds until a change is shown
    """
    text = b"[]" if list_file is None else list_file.read_bytes()
    first = TypeAdapter(list[HostModel]).validate_json(text)
    server_of(hosts_app(Lagged(SystemClock(), lag_s, first)), port).run()


def backend(
    *,
    port: int,
    id: str,
    slots: int = 4,
    queue_limit: int = 64,
    connection_limit: int = 130,
    service_ms: float = 5.0,
    answer_bytes: int = 200,
    checks_fence: bool = True,
    checks_deadline: bool = True,
    cold_start_s: float = 0.0,
    cold_factor: float = 3.0,
    executions_file: Path | None = None,
) -> None:
    """Serve as one backend server.

    :param port: port on the loopback address
    :param id: name of this server
    :param slots: pieces of work that run at once
    :param queue_limit: pieces of work that wait for a slot before more are shed
    :param connection_limit: open connections before more are reset
    :param service_ms: time that a piece of work takes
    :param answer_bytes: least size of an answer
    :param checks_fence: refuse work without a grant
    :param checks_deadline: start or go on with nothing past its deadline
    :param cold_start_s: seconds until work takes its usual time
    :param cold_factor: how much longer work takes at the very start
    :param executions_file: file to add one JSON line to for each change of an execution
    """
    clock = SystemClock()
    settings = BackendSettings(
        id=id,
        slots=slots,
        queue_limit=queue_limit,
        connection_limit=connection_limit,
        checks_fence=checks_fence,
        checks_deadline=checks_deadline,
        cold_start_s=cold_start_s,
        cold_factor=cold_factor,
    )
    behaviour = BehaviourModel(service_time_s=service_ms / 1000, answer_bytes=answer_bytes)
    server = Backend(settings, clock, behaviour, ExecutionLog(clock, executions_file))
    protocol = limited_protocol(connection_limit, settings.connect_cost_s, server.connections)
    server_of(server.app, port, protocol).run()


def main(argv: list[str]) -> None:
    """Run the stand-in that `argv` names."""
    defopt.run([store, hosts, backend], argv=argv)


if __name__ == "__main__":
    main(sys.argv[1:])
