"""A copy of the store has servers back that had been removed since it was made.

Requests must not go to servers that have left, and sound servers must not stay unused.
"""

from __future__ import annotations

import pytest

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control.item_applier import ItemApplier
from fuchsiawell.gateway.ports import Item

from builders import FakeRecordDecoder, session

CONTACT_S = 3.0
RETURN_S = 2.2


def _applier_of_removed_server() -> tuple[ManualClock, ItemApplier]:
    """Return an applier that knows of four servers, and that i-0 has been removed since."""
    clock = ManualClock(1000.0)
    applier = ItemApplier(session(clock), FakeRecordDecoder())
    applier.apply_listing([Item(f"servers/i-{n}", b"good", 10 + n) for n in range(4)])
    applier.apply(Item("servers/i-0", None, 20))
    assert "i-0" not in applier._session.directory.by_id
    clock.advance(CONTACT_S)
    return clock, applier


COPY = [Item(f"servers/i-{n}", b"good", 10 + n) for n in range(4)]


# Guards against requests for a server that has left (DRAIN), which the copy has as ready, and
# against a sound one that stays unused.
def test_removed_server_of_a_copy_is_used_again_once_its_entry_has_outlived_its_expiry() -> None:
    clock, applier = _applier_of_removed_server()
    directory = applier._session.directory
    applier.apply_copy(COPY)
    for _ in range(59):
        assert "i-0" not in directory.by_id
        clock.advance(0.1)
        applier.accept_held_entries()
    clock.advance(0.2)
    applier.accept_held_entries()
    assert "i-0" in directory.by_id
    assert "i-0/1" not in directory.removed


def test_removed_server_that_writes_its_entry_in_the_new_era_is_used_at_once() -> None:
    _, applier = _applier_of_removed_server()
    applier.apply_copy(COPY)
    applier.apply(Item("servers/i-0", b"good", 15))
    assert "i-0" in applier._session.directory.by_id


@pytest.mark.parametrize("second_drill", [False, True])
def test_removed_server_whose_removal_is_written_again_stays_away(second_drill: bool) -> None:
    clock, applier = _applier_of_removed_server()
    applier.apply_copy(COPY)
    clock.advance(1.0)
    if second_drill:
        applier.apply_copy(COPY)
        clock.advance(1.0)
    applier.apply(Item("servers/i-0", None, 15))
    clock.advance(10.0)
    applier.accept_held_entries()
    assert "i-0" not in applier._session.directory.by_id


# Guards against requests for servers that had been released one after the other while the store was
# sound (DRAIN): as they were over a quarter of their service, they were taken for lapsed ones.
@pytest.mark.parametrize("released", [2, 4, 7, 8])
def test_released_servers_stay_away_however_many_they_are(released: int) -> None:
    clock = ManualClock(1000.0)
    applier = ItemApplier(session(clock), FakeRecordDecoder())
    copy = [Item(f"servers/i-{n}", b"good", 10 + n) for n in range(8)]
    applier.apply_listing(copy)
    for number in range(released):
        clock.advance(1.0)
        assert applier.apply(Item(f"servers/i-{number}", None, 20 + number))
    applier.apply_copy(copy)
    assert set(applier._session.directory.by_id) == {f"i-{n}" for n in range(released, 8)}


# Guards against servers that stay unused although they run: they had been removed and were back
# when the copy was made, which this daemon had missed.
def test_servers_that_returned_before_the_copy_was_made_are_used_at_once() -> None:
    clock = ManualClock(1000.0)
    applier = ItemApplier(session(clock), FakeRecordDecoder())
    applier.apply_listing([Item(f"servers/i-{n}", b"good", 10 + n) for n in range(8)])
    for number in range(4):
        assert applier.apply(Item(f"servers/i-{number}", None, 20 + number))
    applier.apply_copy([Item(f"servers/i-{n}", b"good", 30 + n) for n in range(8)])
    assert len(applier._session.directory.by_id) == 8


# Guards against memory that grows with each server that was ever removed.
def test_removals_are_forgotten_with_their_servers() -> None:
    clock = ManualClock(1000.0)
    applier = ItemApplier(session(clock), FakeRecordDecoder())
    for number in range(1000):
        assert applier.apply(Item(f"servers/i-{number}", b"good", 2 * number + 1))
        assert applier.apply(Item(f"servers/i-{number}", None, 2 * number + 2))
        clock.advance(1.0)
        applier._session.directory.removed.expire(applier._session.now_s)
    assert len(applier._removal_revisions) < 100


# Guards against the same at a service of few servers, of which one is over a quarter.
def test_removed_server_of_a_small_service_stays_away() -> None:
    clock = ManualClock(1000.0)
    applier = ItemApplier(session(clock), FakeRecordDecoder())
    applier.apply_listing(COPY[:2])
    applier.apply(Item("servers/i-0", None, 20))
    clock.advance(CONTACT_S)
    applier.apply_copy(COPY[:2])
    assert set(applier._session.directory.by_id) == {"i-1"}


# Guards against a few removals beside trouble with the store that a copy undoes, and against a
# whole service that is left out because its entries lapsed.
@pytest.mark.parametrize(("missing", "kept"), [(1, False), (3, True)])
def test_missing_servers_come_back_from_a_copy_only_if_they_are_many(
    missing: int, kept: bool
) -> None:
    clock = ManualClock(1000.0)
    applier = ItemApplier(session(clock), FakeRecordDecoder())
    directory = applier._session.directory
    applier.apply_listing(COPY)
    directory.on_store_unavailable(clock.monotonic())
    directory.on_store_available(clock.monotonic())
    clock.advance(1.0)
    for number in range(missing):
        applier.apply(Item(f"servers/i-{number}", None, 20 + number))
    applier.apply_copy(COPY)
    clock.advance(RETURN_S + 0.1)
    directory.expire(clock.monotonic())
    assert ("i-0" in directory.by_id) == kept
