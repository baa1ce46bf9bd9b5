from __future__ import annotations

import asyncio
from random import Random

import pytest

from fuchsiawell.bench.once.virtual import LoopClock, run_virtual
from fuchsiawell.once.convictions import (
    ConvictionRecord,
    Convictions,
    ConvictionsFormatError,
    convictions_key,
)
from fuchsiawell.once.suspects import Suspects
from fuchsiawell.platform import CallKind
from fuchsiawell.standins.faults import LoseAnswer, RandomFaults, ScriptedFaults
from fuchsiawell.standins.memory_store import MemoryStore


def daemon(store: MemoryStore) -> tuple[Suspects, Convictions]:
    suspects = Suspects(LoopClock())
    return suspects, Convictions(store, convictions_key("viti"), LoopClock(), suspects)


def test_daemons_share_what_they_found_and_operators_release_it() -> None:
    async def main() -> None:
        store = MemoryStore(LoopClock())
        (one, shared), (two, also) = daemon(store), daemon(store)
        one.convict(b"poison")
        two.suspect(b"odd")
        for results in await asyncio.gather(shared.share(), also.share()):
            assert results.is_ok()
        await shared.refresh()
        assert one.suspects() == {b"odd"}
        await also.refresh()
        assert two.convicted() == {b"poison"}
        await also.release(b"poison")
        assert two.convicted() == frozenset() != one.convicted()
        await shared.share()
        await also.refresh()
        assert one.convicted() == two.convicted() == frozenset()

    run_virtual(main())


def test_a_cleared_suspect_is_not_taken_from_the_store_again() -> None:
    async def main() -> None:
        suspects, shared = daemon(MemoryStore(LoopClock()))
        suspects.suspect(b"odd")
        await shared.share()
        suspects.release(b"odd")
        await shared.refresh()
        assert suspects.suspects() == frozenset()

    run_virtual(main())


def test_lost_answers_and_outages_end_truthfully() -> None:
    async def main() -> None:
        store = MemoryStore(LoopClock(), ScriptedFaults([LoseAnswer()], [CallKind.PUT]))
        suspects, shared = daemon(store)
        suspects.convict(b"poison")
        assert (await shared.share()).is_ok()
        assert store.counts.by_kind[CallKind.PUT] == 1
        store.plan = RandomFaults(Random(1), 1.0, [LoseAnswer()])
        assert (await shared.refresh()).is_err()
        assert suspects.convicted() == {b"poison"}

    run_virtual(main())


def test_unknown_formats_are_refused() -> None:
    for value in (b"", b"\x00", ConvictionRecord().encode()[:-1]):
        with pytest.raises(ConvictionsFormatError):
            ConvictionRecord.decode(value, "store")
