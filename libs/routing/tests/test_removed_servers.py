"""A removal is known until the store cannot have forgotten it any more."""

from __future__ import annotations

from fuchsiawell.routing import RemovedServers


def test_removal_is_forgotten_after_a_while_or_when_the_server_is_listed_again() -> None:
    servers = RemovedServers()
    servers.record("i-1/1", 10.0)
    servers.record("i-1/1", 40.0)
    servers.record("i-2/1", 40.0)
    servers.record("i-3/1", 40.0)
    assert servers["i-1/1"] == 10.0
    servers.discard("i-3/1")
    servers.expire(70.0)
    assert set(servers) == {"i-1/1", "i-2/1"}
    servers.expire(70.1)
    assert set(servers) == {"i-2/1"}
