"""Guards against the loss of servers whose entries expire during an outage of the store."""

from __future__ import annotations

from dataclasses import replace

import pytest

from fuchsiawell.routing import Backend, BackendDirectory

BACKEND = Backend("i-1", "s", "10.0.0.1", 80, "a", 2, 1, False)


@pytest.fixture
def directory() -> BackendDirectory:
    directory = BackendDirectory()
    directory.upsert(BACKEND)
    return directory


# Guards against a mark that makes a server with a missing entry count as present again.
def test_mark_of_a_server_with_a_missing_entry_leaves_it_missing(
    directory: BackendDirectory,
) -> None:
    directory.on_store_unavailable(10.0)
    directory.remove("i-1", 10.0)
    directory.mark_draining("i-1")
    assert directory.ready_backends("s") == []
    directory.on_store_available(11.0)
    assert directory.expire(20.0) == ["i-1"]


def test_draining_server_is_not_ready(directory: BackendDirectory) -> None:
    directory.upsert(replace(BACKEND, draining=True))
    assert directory.ready_backends("s") == []
    assert "i-1" in directory.by_id


def test_removal_takes_effect_at_once_while_the_store_is_available(
    directory: BackendDirectory,
) -> None:
    directory.remove("i-1", 100.0)
    assert "i-1" not in directory.by_id


def test_server_removed_after_a_store_outage_is_kept_until_its_entry_may_return(
    directory: BackendDirectory,
) -> None:
    directory.on_store_unavailable(100.0)
    directory.on_store_available(105.0)
    directory.remove("i-1", 105.1)
    assert directory.expire(107.0) == []
    assert directory.ready_backends("s") == [BACKEND]
    assert directory.expire(107.5) == ["i-1"]


def test_nothing_expires_while_the_store_is_unavailable(directory: BackendDirectory) -> None:
    directory.on_store_unavailable(100.0)
    directory.remove("i-1", 100.5)
    assert directory.expire(200.0) == []
    directory.on_store_available(200.0)
    assert directory.expire(201.0) == []
    assert directory.expire(202.5) == ["i-1"]


def test_returned_entry_does_not_expire(directory: BackendDirectory) -> None:
    directory.on_store_unavailable(100.0)
    directory.on_store_available(101.0)
    directory.remove("i-1", 101.1)
    directory.upsert(BACKEND)
    assert directory.expire(110.0) == []


def _preferred_after_outage(missing: int) -> set[str]:
    """Return the ids preferred when `missing` of 8 entries are removed after a store outage."""
    directory = BackendDirectory()
    for number in range(8):
        directory.upsert(Backend(f"i-{number}", "s", "10.0.0.1", 80, "a", 2, 1, False))
    directory.on_store_unavailable(100.0)
    directory.on_store_available(112.0)
    for number in range(missing):
        directory.remove(f"i-{number}", 112.1)
    assert len(directory.ready_backends("s")) == 8
    return {backend.id for backend in directory.preferred("s")}


def test_server_removed_during_a_store_outage_is_not_preferred() -> None:
    assert _preferred_after_outage(missing=1) == {f"i-{number}" for number in range(1, 8)}


def test_servers_are_preferred_when_many_entries_expired_together() -> None:
    assert len(_preferred_after_outage(missing=5)) == 8
    assert len(_preferred_after_outage(missing=8)) == 8
