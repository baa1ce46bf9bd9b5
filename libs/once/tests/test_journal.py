from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

import pytest
from result import Err, Ok

from fuchsiawell.bench.once.virtual import LoopClock, run_virtual
from fuchsiawell.core import NotRunReason, ServiceName, ShardId
from fuchsiawell.once.entries import (
    ENTRY_BYTES,
    JournalFormatError,
    decode_journal,
    encode_entry,
    encode_journal,
)
from fuchsiawell.once.journal import (
    HEADER_ROOM_BYTES,
    Journal,
    JournalLimits,
    JournalState,
    NotRecorded,
    Recorded,
    Unjournaled,
    journal_key,
    journal_prefix,
)
from fuchsiawell.once.places import Places, place_of
from fuchsiawell.once.records import FoundIntent, JournalsRead
from fuchsiawell.once.requests import OnceRequest, OutagePolicy
from fuchsiawell.platform import CallKind
from fuchsiawell.standins.faults import (
    Fault,
    LoseAnswer,
    LoseRequest,
    NoFaults,
    RandomFaults,
    Refuse,
    ScriptedFaults,
)
from fuchsiawell.standins.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Coroutine

DROPS = ServiceName("dropline")
SHARD = ShardId(DROPS, 3)
UNAVAILABLE = NotRecorded(NotRunReason.JOURNAL_UNAVAILABLE)


def request(id: str, **changes: object) -> OnceRequest:
    asked = OnceRequest(DROPS, "pen-4", ShardId(DROPS, 3), id, b"content1", 600.0)
    return replace(asked, **changes)  # type: ignore[arg-type]


class Cell:
    """A store and the journals of some daemons."""

    def __init__(self) -> None:
        self.store = MemoryStore(LoopClock())
        self.deposed: list[str] = []

    async def journal(self, daemon: str, process: str = "1", **options: object) -> Journal:
        journal = Journal(
            self.store,
            journal_key("viti", daemon),
            f"{daemon}{process}".encode().ljust(8, b"-"),
            LoopClock(),
            on_deposed=lambda: self.deposed.append(daemon + process),
            **options,  # type: ignore[arg-type]
        )
        assert await journal.open() == Ok(None)
        return journal

    async def read(self, journal: Journal) -> JournalsRead:
        return (await journal.read_others(journal_prefix("viti"))).unwrap()

    async def ids_seen_by_successor(self, ids: list[str]) -> list[str]:
        read = await self.read(await self.journal("z"))
        seen = {intent.identity for intent in read.intents}
        return [id for id in ids if request(id).identity in seen]


def in_virtual_time(main: Coroutine[object, object, None]) -> None:
    run_virtual(main)


def test_a_journal_survives_its_encoding() -> None:
    intent = FoundIntent(b"i" * 16, b"c" * 8, place_of("pen-4"), 600.0)
    windows = {SHARD: 60.0, ShardId(DROPS, 5): 60.0, ShardId(ServiceName("x"), 0): 9.0}
    value = encode_journal(b"n" * 8, 7, windows, [encode_entry(intent)])
    decoded = decode_journal(value, "a")
    assert (decoded.nonce, decoded.write_number) == (b"n" * 8, 7)
    assert (decoded.unjournaled_s_by_shard, decoded.intents) == (windows, (intent,))
    for broken in (b"", value[:-1], value + b"x", b"fwj0" + value[4:]):
        with pytest.raises(JournalFormatError):
            decode_journal(broken, "a")


def test_many_intents_go_with_one_write() -> None:
    async def main() -> None:
        cell = Cell()
        journal = await cell.journal("a", limits=JournalLimits(writes_per_s=10))
        ids = [str(n) for n in range(50)]
        answers = await asyncio.gather(*(journal.record(request(id)) for id in ids))
        assert answers == [Recorded()] * 50
        assert (journal.writes, journal.intents) == (2, 50)
        assert await cell.ids_seen_by_successor(ids) == ids

    in_virtual_time(main())


def test_writes_keep_to_their_share() -> None:
    async def main() -> None:
        cell = Cell()
        journal = await cell.journal("a", limits=JournalLimits(writes_per_s=10))
        for n in range(100):
            assert await journal.record(request(str(n))) == Recorded()
        assert LoopClock().monotonic() >= 9.8

    in_virtual_time(main())


@pytest.mark.parametrize("fault", [LoseAnswer(), LoseRequest(), Refuse()])
def test_a_write_with_a_lost_answer_is_settled_before_anything_is_sent(fault: Fault) -> None:
    async def main() -> None:
        cell = Cell()
        journal = await cell.journal("a")
        cell.store.plan = ScriptedFaults([fault], [CallKind.PUT])
        assert await journal.record(request("r1")) == Recorded()
        assert journal.state is JournalState.READY
        assert await cell.ids_seen_by_successor(["r1"]) == ["r1"]

    in_virtual_time(main())


def test_another_process_of_the_daemon_deposes_the_first_and_keeps_its_intents() -> None:
    async def main() -> None:
        cell = Cell()
        old = await cell.journal("a")
        await old.record(request("r1"))
        new = await cell.journal("a", process="2")
        assert await old.record(request("r2")) == UNAVAILABLE
        assert (old.state, cell.deposed) == (JournalState.DEPOSED, ["a1"])
        assert [i.identity for i in (await cell.read(new)).intents] == [request("r1").identity]
        assert await new.record(request("r3")) == Recorded()
        assert await cell.ids_seen_by_successor(["r1", "r2", "r3"]) == ["r1", "r3"]

    in_virtual_time(main())


def test_outage_refuses_or_goes_on_as_declared() -> None:
    async def main() -> None:
        cell = Cell()
        journal = await cell.journal("a")
        journal.declare({SHARD: 600.0})
        await asyncio.sleep(1)
        cell.store.plan = RandomFaults(Random(1), 1.0, [Refuse()])
        goes_on = request("r2", on_outage=OutagePolicy.GO_ON)
        assert await journal.record(request("r1")) == UNAVAILABLE
        assert await journal.record(goes_on) == Unjournaled()
        too_long = replace(goes_on, resend_window_s=601.0)
        assert await journal.record(too_long) == UNAVAILABLE
        cell.store.plan = NoFaults()
        await asyncio.sleep(2)
        assert await journal.record(request("r3")) == Recorded()
        read = await cell.read(await cell.journal("z"))
        assert read.unjournaled_s_by_shard == {SHARD: 600.0}

    in_virtual_time(main())


def test_a_declaration_outlasts_leadership_and_process_by_its_window() -> None:
    async def main() -> None:
        cell = Cell()
        journal, other = await cell.journal("a"), await cell.journal("z")
        journal.declare({SHARD: 60.0})
        await asyncio.sleep(1)
        journal.declare({})
        await journal.record(request("r1"))
        assert (await cell.read(other)).unjournaled_s_by_shard == {SHARD: 60.0}
        new = await cell.journal("a", process="2")
        assert (await cell.read(new)).unjournaled_s_by_shard == {SHARD: 60.0}
        assert (await cell.read(other)).unjournaled_s_by_shard == {SHARD: 60.0}
        await asyncio.sleep(61)
        assert (await cell.read(new)).unjournaled_s_by_shard == {}
        assert (await cell.read(other)).unjournaled_s_by_shard == {}

    in_virtual_time(main())


def test_nothing_goes_on_unless_the_declaration_stands_in_the_store() -> None:
    async def main() -> None:
        cell = Cell()
        cell.store.plan = RandomFaults(Random(1), 1.0, [Refuse()])
        journal = Journal(cell.store, "k", b"n" * 8, LoopClock())
        journal.declare({SHARD: 600.0})
        assert isinstance(await journal.open(), Err)
        goes_on = request("r1", on_outage=OutagePolicy.GO_ON)
        assert await journal.record(goes_on) == UNAVAILABLE

    in_virtual_time(main())


def test_entries_leave_with_their_window_or_when_retracted() -> None:
    async def main() -> None:
        cell = Cell()
        journal = await cell.journal("a")
        for id, window_s in (("r1", 600.0), ("r2", 60.0), ("r3", 600.0)):
            await journal.record(request(id, resend_window_s=window_s))
        journal.retract(request("r3").identity)
        await asyncio.sleep(61)
        await journal.record(request("r4"))
        assert await cell.ids_seen_by_successor(["r1", "r2", "r3", "r4"]) == ["r1", "r4"]

    in_virtual_time(main())


def test_full_journal_refuses_and_forgets_nothing() -> None:
    async def main() -> None:
        cell = Cell()
        room = HEADER_ROOM_BYTES + 2 * ENTRY_BYTES
        journal = await cell.journal("a", limits=JournalLimits(max_bytes=room))
        answers = [await journal.record(request(str(n))) for n in range(3)]
        assert answers == [Recorded(), Recorded(), NotRecorded(NotRunReason.LEDGER_FULL)]
        assert await cell.ids_seen_by_successor(["0", "1"]) == ["0", "1"]

    in_virtual_time(main())


def test_only_intents_of_the_shards_taken_over_are_kept() -> None:
    inside = FoundIntent(b"i" * 16, b"c" * 8, place_of("pen-4"), 600.0)
    index = int.from_bytes(place_of("pen-4"), "big") % 64
    outside = replace(inside, place=place_of("pen-5"))
    read = JournalsRead(0.0, (inside, outside))
    assert read.only(Places({64: frozenset({index})})).intents == (inside,)
    assert read.only(Places({}, frozenset({place_of("pen-5")}))).intents == (outside,)
