from __future__ import annotations

from dataclasses import replace

import pytest

from fuchsiawell.routing import Backend, BackendDirectory

ONE = Backend("i-1", "s", "10.0.0.1", 80, "a", 2, 1, False)


@pytest.fixture
def directory() -> BackendDirectory:
    directory = BackendDirectory()
    directory.upsert(ONE)
    return directory


def test_a_draining_server_gets_no_new_work(directory: BackendDirectory) -> None:
    directory.upsert(replace(ONE, draining=True))
    assert directory.ready_backends("s") == []
    assert "i-1" in directory.by_id


def test_a_removal_counts_at_once_while_the_store_is_sound(directory: BackendDirectory) -> None:
    directory.remove("i-1", 100.0)
    assert "i-1" not in directory.by_id


def test_an_entry_that_lapsed_with_the_store_is_kept_until_it_had_time_to_return(
    directory: BackendDirectory,
) -> None:
    directory.on_store_unavailable(100.0)
    directory.on_store_available(105.0)
    directory.remove("i-1", 105.1)
    assert directory.expire(107.0) == []
    assert directory.ready_backends("s") == [ONE]
    assert directory.expire(107.5) == ["i-1"]


def test_nothing_expires_while_the_store_is_away(directory: BackendDirectory) -> None:
    directory.on_store_unavailable(100.0)
    directory.remove("i-1", 100.5)
    assert directory.expire(200.0) == []
    directory.on_store_available(200.0)
    assert directory.expire(201.0) == []
    assert directory.expire(202.5) == ["i-1"]


def test_an_entry_that_returns_is_no_longer_missing(directory: BackendDirectory) -> None:
    directory.on_store_unavailable(100.0)
    directory.on_store_available(101.0)
    directory.remove("i-1", 101.1)
    directory.upsert(ONE)
    assert directory.expire(110.0) == []


def _after_a_cut(missing: int) -> set[str]:
    """Return who is preferred when entries are missing after a time out of touch."""
    directory = BackendDirectory()
    for number in range(8):
        directory.upsert(Backend(f"i-{number}", "s", "10.0.0.1", 80, "a", 2, 1, False))
    directory.on_store_unavailable(100.0)
    directory.on_store_available(112.0)
    for number in range(missing):
        directory.remove(f"i-{number}", 112.1)
    assert len(directory.ready_backends("s")) == 8
    return {backend.id for backend in directory.preferred("s")}


def test_a_server_that_left_while_the_daemon_was_cut_off_gets_nothing_more() -> None:
    assert _after_a_cut(missing=1) == {f"i-{number}" for number in range(1, 8)}


def test_servers_whose_entries_lapsed_together_serve_on() -> None:
    assert len(_after_a_cut(missing=5)) == 8
    assert len(_after_a_cut(missing=8)) == 8
