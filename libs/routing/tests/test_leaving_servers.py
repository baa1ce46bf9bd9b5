"""Guards against a table of leaving servers that grows, or that forgets one which is back late."""

from __future__ import annotations

from fuchsiawell.routing import LeavingServers
from fuchsiawell.routing.leaving_servers import UNLISTED_RETENTION_S


def test_first_record_of_an_incarnation_counts() -> None:
    servers = LeavingServers()
    assert servers.record("i-1/1", 10.0)
    assert not servers.record("i-1/1", 11.0)
    assert servers.since_s("i-1/1") == 10.0
    assert servers.since_s("i-1/2") is None


def test_unlisted_incarnations_are_discarded_after_a_while() -> None:
    servers = LeavingServers()
    servers.record("i-1/1", 0.0)
    servers.record("i-2/1", 0.0)
    servers.retain({"i-2/1"}, UNLISTED_RETENTION_S)
    assert servers.since_s("i-1/1") == 0.0
    servers.retain({"i-2/1"}, UNLISTED_RETENTION_S + 1.0)
    assert servers.since_s("i-1/1") is None
    servers.retain((), 2 * UNLISTED_RETENTION_S)
    assert servers.since_s("i-2/1") == 0.0
