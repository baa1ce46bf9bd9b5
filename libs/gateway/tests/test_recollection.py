"""A daemon that starts asks others for what a restored store may have forgotten.

Guards against a daemon that goes by the configuration of an older copy of the store, which refuses
proper requests (DENIED), and against one that never serves because nobody can tell.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control.item_applier import ItemApplier
from fuchsiawell.gateway.control.store_keys import DAEMONS_PREFIX, encode_peer
from fuchsiawell.gateway.ports import Item
from fuchsiawell.gateway.session.state import Peer
from fuchsiawell.standins import host_pair

from builders import FakeRecordDecoder, log_events, session
from store_site import StoreSite, run_site

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.httpio import Channel

# A daemon that starts serves after this time at the latest.
START_S = 0.5
FETCH_S = 2.0


def _applier() -> ItemApplier:
    return ItemApplier(session(ManualClock(1000.0)), FakeRecordDecoder())


def _version(applier: ItemApplier) -> int:
    configuration = applier._session.configuration
    return 0 if configuration is None else configuration.version


# Guards against versions that come back older while the operator writes again, one after the other,
# those that the store has forgotten.
def test_versions_written_again_in_turn_do_not_replace_a_recalled_one() -> None:
    applier = _applier()
    applier.configurations.expect_version(8)
    applier.apply_possible_copy([Item("config", b"4", 3)])
    assert _version(applier) == 0
    applier.configurations.recall(b"8", "d-2")
    for revision, version in enumerate((5, 6, 7, 8, 9), start=4):
        applier.apply(Item("config", b"%d" % version, revision))
        assert _version(applier) == max(8, version)


def test_unusable_recalled_record_leaves_the_configuration_of_the_copy() -> None:
    applier = _applier()
    applier.configurations.expect_version(8)
    applier.apply_possible_copy([Item("config", b"4", 3)])
    applier.configurations.recall(b"no number", "d-2")
    applier.configurations.stop_expecting()
    assert _version(applier) == 4


def test_daemon_with_the_newest_version_takes_a_later_one_of_the_store() -> None:
    for known_version, expected in ((8, 8), (8, 0), (0, 0)):
        applier = _applier()
        if known_version:
            applier.apply_possible_copy([Item("config", b"%d" % known_version, 3)])
        applier.configurations.expect_version(expected)
        applier.apply(Item("config", b"9", 4))
        assert _version(applier) == 9


def _refuse(channel: Channel) -> None:
    """Answer as a daemon of an earlier release does."""
    channel.close()


def _never_answer(_channel: Channel) -> None:
    """Answer nothing."""


@pytest.mark.parametrize("answer", [_refuse, _never_answer, None])
def test_daemon_serves_by_the_store_if_nobody_can_tell(
    monkeypatch: Any, answer: Callable[[Channel], None] | None
) -> None:
    async def scenario(site: StoreSite) -> None:
        site.store.era = 1
        for name in ("d-2", "d-3"):
            site.store.put(DAEMONS_PREFIX + name, encode_peer(Peer(name, "x", name, 80)))
            if answer is not None:
                site.network.listen(name, answer)
        daemon = site.add("d-1")
        assert await site.age_until(lambda: daemon.version == 1, site.clock.monotonic()) < START_S
        line = log_events(daemon.session, "daemons asked for what the store may have forgotten")[0]
        assert (line["asked"], line["answered"]) == (2, 0)

    run_site(monkeypatch, scenario)


# Guards against a slow daemon that was not waited for: its word counts when it is asked again.
def test_daemon_that_was_too_slow_is_asked_again(monkeypatch: Any) -> None:
    async def scenario(site: StoreSite) -> None:
        site.store.era = 1
        other = site.add("d-2")
        site.store.put(DAEMONS_PREFIX + "d-2", encode_peer(Peer("d-2", "x", "d-2", 80)))
        await site.wait_until(lambda: other.version == 1)
        copy = site.store.copy()
        await site.age_of_change(other, 5)
        site.store.restore(copy)
        site.network.delay_s[host_pair("", "d-2")] = 0.4
        daemon = site.add("d-1")
        await site.wait_until(lambda: daemon.version == 1)
        site.network.delay_s.clear()
        assert await site.age_until(lambda: daemon.version == 5, site.clock.monotonic()) < FETCH_S
        site.configure(3)
        await asyncio.sleep(2.0)
        assert daemon.version == 5

    run_site(monkeypatch, scenario)


# Guards against a version that comes back older: the record of another daemon arrived late, after
# the operator had written a newer one.
def test_recalled_configuration_does_not_replace_a_newer_one_of_the_store(
    monkeypatch: Any,
) -> None:
    async def scenario(site: StoreSite) -> None:
        site.store.era = 1
        other = site.add("d-2")
        site.store.put(DAEMONS_PREFIX + "d-2", encode_peer(Peer("d-2", "x", "d-2", 80)))
        await site.wait_until(lambda: other.version == 1)
        copy = site.store.copy()
        await site.age_of_change(other, 5)
        site.store.restore(copy)
        other.link.silent = True
        # The answer takes 0.15 s, and the record as long again.
        site.network.delay_s[host_pair("", "d-2")] = 0.05
        daemon = site.add("d-1")
        await asyncio.sleep(0.2)
        assert daemon.version == 0
        site.configure(6)
        versions = set()
        for _ in range(300):
            await asyncio.sleep(0.01)
            versions.add(daemon.version)
        assert versions - {0, 5} == {6}
        assert daemon.version == 6

    run_site(monkeypatch, scenario)


# Guards against a daemon without a configuration for ever: whoever had the newer one is lost.
def test_daemon_takes_the_copy_if_the_newer_configuration_is_lost(monkeypatch: Any) -> None:
    async def scenario(site: StoreSite) -> None:
        site.store.era = 1
        other = site.add("d-2")
        site.store.put(DAEMONS_PREFIX + "d-2", encode_peer(Peer("d-2", "x", "d-2", 80)))
        await site.wait_until(lambda: other.version == 1)
        copy = site.store.copy()
        await site.age_of_change(other, 5)
        site.store.restore(copy)
        daemon = site.add("d-1")
        await asyncio.sleep(0)
        other.watcher._items.configurations.record = None
        age_s = await site.age_until(lambda: daemon.version == 1, site.clock.monotonic())
        assert age_s < START_S + FETCH_S
        site.configure(6)
        await site.wait_until(lambda: daemon.version == other.version == 6)

    run_site(monkeypatch, scenario)


# Guards against requests for servers that leave or are gone and into zones that are evacuated, at a
# daemon that starts with a copy that is older than that.
def test_started_daemon_learns_of_servers_and_zones_from_others(monkeypatch: Any) -> None:
    async def scenario(site: StoreSite) -> None:
        site.store.era = 1
        for number in range(5):
            site.store.put(f"servers/i-{number}", b"good")
        site.store.put(DAEMONS_PREFIX + "d-2", encode_peer(Peer("d-2", "x", "d-2", 80)))
        other = site.add("d-2")
        await site.wait_until(lambda: len(other.session.directory.by_id) == 5)
        copy = site.store.copy()
        site.store.put("servers/i-0", b"leaving")
        site.store.remove("servers/i-1")
        site.store.put("evacuate/b", b"")
        await asyncio.sleep(1.0)
        site.store.restore(copy)
        daemon = site.add("d-1")
        await site.wait_until(lambda: daemon.version == 1)
        directory = daemon.session.directory
        assert directory.by_id["i-0"].draining
        assert "i-1" not in directory.by_id
        assert set(directory.by_id) == {"i-0", "i-2", "i-3", "i-4"}
        assert "b" in daemon.session.evacuated_zones
        # What the others know of the time since is as old as it is there.
        (leaving_s,) = daemon.session.leaving_servers.since_s_by_incarnation().values()
        assert 0.5 < site.clock.monotonic() - leaving_s < 2.0

    run_site(monkeypatch, scenario)


# Guards against questions to others, and the time that they take, where no store can forget.
def test_daemon_asks_nobody_if_the_store_names_no_era(monkeypatch: Any) -> None:
    async def scenario(site: StoreSite) -> None:
        site.store.put(DAEMONS_PREFIX + "d-2", encode_peer(Peer("d-2", "x", "d-2", 80)))
        daemon = site.add("d-1")
        await site.wait_until(lambda: daemon.version == 1)
        assert not log_events(daemon.session, "daemons asked for what the store may have forgotten")

    run_site(monkeypatch, scenario)
