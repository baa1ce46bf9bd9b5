"""What other daemons know after a drill of the store: late, old, in part, or not to be had."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest
from test_take_over import (
    FIRST,
    LONGEST_S,
    SECOND,
    Site,
    _know_since,
    _map,
    _waited_s,
    run,
)

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control.change_frames import FrameReader, Recalled, encode_frame
from fuchsiawell.gateway.control.item_applier import ItemApplier
from fuchsiawell.gateway.control.store_keys import DAEMONS_PREFIX, encode_peer
from fuchsiawell.gateway.ports import Item
from fuchsiawell.gateway.session.state import Peer
from fuchsiawell.shards import UNKNOWN_OWNERS

from builders import FakeRecordDecoder, session
from store_site import StoreSite, run_site

if TYPE_CHECKING:
    from fuchsiawell.httpio import Channel

# A daemon that starts has no configuration for this time at the longest (docs/PLATFORM.md).
MAX_START_S = 2.3
# Entries of servers that are silent are in the store for this time at most.
LEASE_S = 4.5
SERVERS = [f"servers/i-{number}" for number in range(4)]


def _list_daemons(site: StoreSite, *names: str) -> None:
    for name in names:
        site.store.put(DAEMONS_PREFIX + name, encode_peer(Peer(name, "x", name, 80)))


# Guards against two owners of a key (OWNER): whoever started in an era knows no more of before it
# than the store does, and does not learn it by another drill.
def test_daemons_of_the_era_before_do_not_vouch_for_owners_that_nobody_knew() -> None:
    async def scenario(site: Site) -> None:
        site.store.era = 2
        stored = _map("d-2", 1, (1, FIRST), (2, FIRST))
        site.put(stored)
        copy = site.store.copy()
        _know_since(site, 2, "d-1", "d-2", "d-3")
        first = asyncio.create_task(site.take_over())
        await asyncio.sleep(0.5)
        assert UNKNOWN_OWNERS in site.recorded()
        first.cancel()
        # The store forgets the record of that wait.
        site.store.restore(copy)
        assert site.store.era == 3
        assert await _waited_s(site) == round(LONGEST_S)

    run(scenario)


# Guards against two owners of a key: a daemon of this release that cannot vouch for its map, as it
# was cut off from the store, is taken for one of an earlier release that can.
def test_newer_assignments_of_a_daemon_that_cannot_vouch_are_no_proof() -> None:
    async def scenario(site: Site) -> None:
        site.store.era = 2
        stored = _map("d-2", 1, (1, FIRST), (2, FIRST))
        site.put(stored)
        _know_since(site, 1, "d-3")
        # It had one of the moves since by datagram.
        moved = stored.assign([(0, 99, SECOND)])
        site.sessions["d-3"].apply_shard_map(moved, "test")
        site.sessions["d-3"].current_until_s -= 60.0
        assert await _waited_s(site) == round(LONGEST_S)

    run(scenario)


# Guards against sound servers that stay unused: a daemon that missed their return says that they
# were removed, and whoever knows better believes it.
@pytest.mark.parametrize("lapsed", [1, 4])
def test_older_word_of_a_removal_does_not_undo_the_return_of_a_server(
    monkeypatch: Any, lapsed: int
) -> None:
    async def scenario(site: StoreSite) -> None:
        site.store.era = 1
        for key in SERVERS:
            site.store.put(key, b"good")
        _list_daemons(site, "d-1", "d-2")
        one, other = site.add("d-1"), site.add("d-2")
        directories = [daemon.session.directory for daemon in (one, other)]
        await site.wait_until(lambda: all(len(d.by_id) == 4 for d in directories))
        for key in SERVERS[:lapsed]:
            site.store.remove(key)
        await site.wait_until(lambda: all(len(d.by_id) == 4 - lapsed for d in directories))
        other.link.silent = True
        for key in SERVERS[:lapsed]:
            site.store.put(key, b"good")
        await site.wait_until(lambda: len(directories[0].by_id) == 4)
        await asyncio.sleep(0.5)
        site.store.restore(site.store.copy())
        for _ in range(300):
            await asyncio.sleep(0.01)
            assert len(directories[0].by_id) == 4

    run_site(monkeypatch, scenario)


# The same for a daemon that starts while no drill is or was.
def test_older_word_of_a_removal_takes_no_server_from_a_daemon_that_starts(
    monkeypatch: Any,
) -> None:
    async def scenario(site: StoreSite) -> None:
        site.store.era = 1
        for key in SERVERS:
            site.store.put(key, b"good")
        _list_daemons(site, "d-1", "d-2", "d-3")
        daemons = [site.add(name) for name in ("d-1", "d-2")]
        await site.wait_until(lambda: all(len(d.session.directory.by_id) == 4 for d in daemons))
        site.store.remove(SERVERS[0])
        await site.wait_until(lambda: all(len(d.session.directory.by_id) == 3 for d in daemons))
        daemons[1].link.silent = True
        site.store.put(SERVERS[0], b"good")
        await asyncio.sleep(1.0)
        started = site.add("d-3")
        await asyncio.sleep(1.0)
        assert len(started.session.directory.by_id) == 4

    run_site(monkeypatch, scenario)


# Guards against a daemon that serves nothing for long: others that have a newer configuration are
# waited for one after the other.
def test_start_does_not_take_longer_if_several_daemons_do_not_send_their_configuration(
    monkeypatch: Any,
) -> None:
    async def scenario(site: StoreSite) -> None:
        site.store.era = 1
        names = [f"d-{number}" for number in range(2, 6)]

        def accept(channel: Channel) -> None:
            asyncio.get_running_loop().create_task(_answer_first(channel))

        asked: set[str] = set()

        async def _answer_first(channel: Channel) -> None:
            request: Any = await FrameReader(channel).next()
            # What is large does not arrive: the link is slow, or was cut since.
            if request.version > 1:
                channel.write(encode_frame(Recalled(8)))
            asked.add(request.name)

        _list_daemons(site, *names)
        for name in names:
            site.network.listen(name, accept)
        daemon = site.add("d-1")
        started_s = site.clock.monotonic()
        assert await site.age_until(lambda: daemon.version == 1, started_s) < MAX_START_S + 0.1
        assert asked

    run_site(monkeypatch, scenario)


# Guards against servers of a zone that lose their requests and keys again: the copy has the
# evacuation, whose end is known to all.
def test_zone_that_was_taken_back_is_not_evacuated_again_by_the_copy(monkeypatch: Any) -> None:
    async def scenario(site: StoreSite) -> None:
        site.store.era = 1
        site.store.put("evacuate/b", b"")
        daemon = site.add("d-1")
        zones = daemon.session.evacuated_zones
        await site.wait_until(lambda: "b" in zones)
        copy = site.store.copy()
        site.store.remove("evacuate/b")
        await site.wait_until(lambda: "b" not in zones)
        await asyncio.sleep(1.0)
        site.store.restore(copy)
        for _ in range(100):
            await asyncio.sleep(0.01)
            assert "b" not in zones
        site.store.remove("evacuate/b")

    run_site(monkeypatch, scenario)


# Guards against requests for a server that is gone (DRAIN): leases may pause while the store is
# away, so that an entry that is still there afterwards shows no renewal.
def test_entry_of_a_removed_server_does_not_outlive_its_expiry_while_the_store_is_away(
    monkeypatch: Any,
) -> None:
    async def scenario(site: StoreSite) -> None:
        site.store.era = 1
        for key in SERVERS:
            site.store.put(key, b"good")
        daemon = site.add("d-1")
        directory = daemon.session.directory
        await site.wait_until(lambda: len(directory.by_id) == 4)
        copy = site.store.copy()
        site.store.remove(SERVERS[0])
        await site.wait_until(lambda: len(directory.by_id) == 3)
        await asyncio.sleep(1.0)
        site.store.restore(copy)
        # The entry lapses after 4.5 s in which the store is there.
        loop = asyncio.get_running_loop()
        loop.call_later(6.0 + LEASE_S, site.store.remove, SERVERS[0])
        await asyncio.sleep(1.0)
        site.store.unavailable = True
        await asyncio.sleep(6.0)
        site.store.unavailable = False
        for _ in range(100):
            await asyncio.sleep(0.1)
            daemon.watcher.expire_backends()
            assert "i-0" not in directory.by_id

    run_site(monkeypatch, scenario)


class _FailingDecoder(FakeRecordDecoder):
    """Fails on a record in a way that it does not foresee."""

    def decode_configuration(self, value: bytes) -> Any:
        if value == b"8":
            raise TypeError("field of another type")
        return super().decode_configuration(value)


# Guards against a daemon that never has a configuration: an unexpected error ends what would have
# taken the one of the store.
def test_recalled_record_that_fails_to_decode_leaves_the_configuration_of_the_copy() -> None:
    applier = ItemApplier(session(ManualClock(1000.0)), _FailingDecoder())
    applier.configurations.expect_version(8)
    applier.apply_possible_copy([Item("config", b"4", 3)])
    applier.configurations.recall(b"8", "d-2")
    applier.configurations.stop_expecting()
    configuration = applier._session.configuration
    assert configuration is not None
    assert configuration.version == 4


class _FailingEntryDecoder(FakeRecordDecoder):
    """Fails on a server's entry in a way that it does not foresee."""

    def decode_backend(self, key: str, value: bytes) -> Any:
        if value == b"odd":
            raise RecursionError
        return super().decode_backend(key, value)


# Guards against one odd entry that ends the control loop of every daemon in a new era.
def test_entry_that_fails_to_decode_leaves_the_others_of_a_copy() -> None:
    applier = ItemApplier(session(ManualClock(1000.0)), _FailingEntryDecoder())
    applier.apply_copy([Item("servers/i-0", b"odd", 2), Item("servers/i-1", b"good", 3)])
    assert set(applier._session.directory.by_id) == {"i-1"}
