"""Unused ports for processes and servers on the loopback address."""

from __future__ import annotations

import itertools
import os
import socket

__all__ = ["adjacent_free_ports", "free_ports"]

# Port range. The first port tried depends on the process id, so that soaks on one
# machine do not collide.
FIRST_PORT, PORT_COUNT = 12_000, 20_000

_candidate_ports = itertools.chain(
    range(FIRST_PORT + os.getpid() * 400 % PORT_COUNT, FIRST_PORT + PORT_COUNT),
    range(FIRST_PORT, FIRST_PORT + PORT_COUNT),
)


def free_ports(count: int) -> list[int]:
    """Return unused ports, none of them returned before; raises RuntimeError if none are left.

    They are below the kernel's ephemeral ports: otherwise an outgoing connection could take the
    port of a daemon while the daemon restarts.
    """
    ports: list[int] = []
    for port in _candidate_ports:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError(
        f"fewer than {count} unused ports left of {FIRST_PORT} to {FIRST_PORT + PORT_COUNT - 1}"
    )


def adjacent_free_ports(count: int) -> list[int]:
    """Return unused ports that follow each other, none of them returned before."""
    ports = free_ports(count)
    while ports[-1] - ports[0] != count - 1:
        ports = [*ports[1:], *free_ports(1)]
    return ports
