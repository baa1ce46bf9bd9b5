"""Start a stand-in as a process of its own."""

from __future__ import annotations

import sys
from pathlib import Path  # noqa: TC003 - defopt reads the type at run time

import defopt
from pydantic import TypeAdapter

from fuchsiawell.core import SystemClock
from fuchsiawell.platform.http_hosts import HostModel
from fuchsiawell.standins.hosts_server import LaggingHosts, hosts_app
from fuchsiawell.standins.memory_store import MemoryStore
from fuchsiawell.standins.serving import server_of
from fuchsiawell.standins.store_server import store_app


def store(*, port: int) -> None:
    """Serve the key-value service, empty.

    :param port: port on the loopback address
    """
    server_of(store_app(MemoryStore(SystemClock())), port).run()


def hosts(*, port: int, list_file: Path | None = None, lag_s: float = 0.0) -> None:
    """Serve the list of hosts.

    :param port: port on the loopback address
    :param list_file: JSON list of hosts to start with; empty without
    :param lag_s: seconds until a change is shown
    """
    text = b"[]" if list_file is None else list_file.read_bytes()
    first = TypeAdapter(list[HostModel]).validate_json(text)
    server_of(hosts_app(LaggingHosts(SystemClock(), lag_s, first)), port).run()


def main(argv: list[str]) -> None:
    """Run the stand-in that `argv` names."""
    defopt.run([store, hosts], argv=argv)


if __name__ == "__main__":
    main(sys.argv[1:])
