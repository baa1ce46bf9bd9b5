"""Daemons of the soak get ports of their own, and say when they cannot start."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import pytest

from fuchsiawell.soak.daemons import Daemon, free_ports

if TYPE_CHECKING:
    from pathlib import Path


def test_no_port_is_given_twice_nor_one_that_is_taken() -> None:
    first = free_ports(5)
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", first[-1] + 1))
        later = free_ports(5)
    assert len({*first, *later}) == 10
    assert first[-1] + 1 not in later


def test_ports_lie_below_those_that_connections_get() -> None:
    with socket.socket() as connection:
        connection.bind(("127.0.0.1", 0))
        given = connection.getsockname()[1]
    assert max(free_ports(3)) < given


async def test_a_daemon_that_cannot_start_is_told_at_once(tmp_path: Path) -> None:
    daemon = Daemon("d-1", 1, tmp_path, ("-c", "raise SystemExit(1)"))
    await daemon.start()
    await daemon.ended()
    with pytest.raises(ChildProcessError, match="d-1"):
        await daemon.wait_ready()
