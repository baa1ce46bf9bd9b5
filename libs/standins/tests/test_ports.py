"""Ports of test daemons.

A port that is used twice, or an ephemeral port that a connection takes before a daemon binds it,
makes the daemon fail to start for a reason that is not a fault of the daemon.
"""

from __future__ import annotations

import socket

from fuchsiawell.standins import adjacent_free_ports, free_ports


def test_ports_are_unused_and_never_returned_twice() -> None:
    first = free_ports(5)
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", first[-1] + 1))
        later = free_ports(5)
    assert len({*first, *later}) == 10
    assert first[-1] + 1 not in later


def test_ports_are_below_ephemeral_ports() -> None:
    with socket.socket() as connection:
        connection.bind(("127.0.0.1", 0))
        ephemeral_port = connection.getsockname()[1]
    assert max(free_ports(3)) < ephemeral_port


# Guards against a daemon whose relay port, the one after its first internal port, is in use.
def test_adjacent_ports_follow_each_other_and_are_unused() -> None:
    last = free_ports(1)[0]
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", last + 2))
        first, second, third = adjacent_free_ports(3)
    assert (second, third) == (first + 1, first + 2)
    assert not {first, second, third} & {last, last + 2}
    assert not {first, second, third} & set(free_ports(5))
