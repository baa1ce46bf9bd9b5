from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import msgpack
import pytest
from result import Err, Ok

from fuchsiawell.core import ManualClock, SystemClock
from fuchsiawell.platform import (
    ABSENT,
    MAX_VALUE_BYTES,
    AnswerLost,
    CallKind,
    Conflict,
    HttpStore,
    LeaseLapsed,
    Revision,
    Unavailable,
)
from fuchsiawell.standins.faults import (
    Fault,
    Hang,
    LoseAnswer,
    LoseRequest,
    Refuse,
    ScriptedFaults,
    Slow,
)
from fuchsiawell.standins.memory_store import MemoryStore
from fuchsiawell.standins.serving import running
from fuchsiawell.standins.silent_proxy import SilentProxy
from fuchsiawell.standins.store_server import store_app

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

WHOLE = msgpack.packb({"record": None})


@asynccontextmanager
async def _served(memory: MemoryStore, timeout_s: float = 10.0) -> AsyncIterator[HttpStore]:
    async with running(store_app(memory)) as address:
        store = HttpStore(address, timeout_s)
        try:
            yield store
        finally:
            await store.close()


@asynccontextmanager
async def _answering(*answers: bytes) -> AsyncIterator[str]:
    """Serve raw bytes, one item a connection, then close it."""
    left = list(answers)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(left.pop(0))
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


async def test_every_call_passes_over_http() -> None:
    async with _served(MemoryStore(ManualClock())) as store:
        assert await store.get("a") == Ok(None)
        first = (await store.put("a", b"\x00\xff", ABSENT)).unwrap()
        assert await store.get("a") == Ok(first)
        assert await store.put("a", b"2", ABSENT) == Err(Conflict(first))
        assert await store.delete("a", Revision(9)) == Err(Conflict(first))
        assert await store.list("") == Ok([first])
        assert await store.watch("a", ABSENT, 5.0) == Ok(first)
        assert await store.watch("a", first.revision, 0.0) == Ok(None)
        lease = (await store.grant_lease(5.0)).unwrap()
        assert await store.renew_lease(lease) == Ok(None)
        assert (await store.put("b", b"", ABSENT, lease)).is_ok()
        assert await store.delete("a", first.revision) == Ok(None)
        assert store.counts.by_kind[CallKind.PUT] == 3


async def test_a_watch_over_http_ends_with_the_write() -> None:
    async with _served(MemoryStore(SystemClock())) as store:
        watch = asyncio.ensure_future(store.watch("a", ABSENT, 60.0))
        written = await store.put("a", b"1", ABSENT)
        assert await watch == written


async def test_a_lapsed_lease_is_told() -> None:
    clock = ManualClock()
    async with _served(MemoryStore(clock)) as store:
        lease = (await store.grant_lease(5.0)).unwrap()
        clock.advance(5.0)
        assert await store.renew_lease(lease) == Err(LeaseLapsed(lease))
        assert await store.put("a", b"", ABSENT, lease) == Err(LeaseLapsed(lease))


async def test_a_value_over_the_limit_is_refused_before_it_is_sent() -> None:
    memory = MemoryStore(ManualClock())
    async with _served(memory) as store:
        error = (await store.put("a", b"x" * (MAX_VALUE_BYTES + 1), ABSENT)).unwrap_err()
        assert isinstance(error, Unavailable)
        assert "1000001 bytes is over the limit of 1000000" in error.detail
        assert memory.counts.writes == 0
        assert (await store.put("a", b"x" * MAX_VALUE_BYTES, ABSENT)).is_ok()


@pytest.mark.parametrize(
    ("fault", "error", "took_effect"),
    [
        (Refuse(), Unavailable, False),
        (LoseRequest(), AnswerLost, False),
        (LoseAnswer(), AnswerLost, True),
    ],
)
async def test_only_a_proved_refusal_is_unavailable(
    fault: Fault, error: type, took_effect: bool
) -> None:
    memory = MemoryStore(ManualClock())
    async with _served(memory) as store:
        memory.plan = ScriptedFaults([fault], {CallKind.PUT})
        assert isinstance((await store.put("a", b"1", ABSENT)).unwrap_err(), error)
        assert ((await store.get("a")).unwrap() is not None) is took_effect


async def test_no_answer_in_time_is_a_lost_answer() -> None:
    memory = MemoryStore(ManualClock())
    async with _served(memory, timeout_s=0.1) as store:
        memory.plan = ScriptedFaults([Hang(60.0, takes_effect=True)] * 2)
        assert isinstance((await store.put("a", b"1", ABSENT)).unwrap_err(), AnswerLost)


async def test_a_refused_connection_is_unavailable() -> None:
    async with _answering() as address:
        pass
    assert isinstance((await HttpStore(address).put("a", b"", ABSENT)).unwrap_err(), Unavailable)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 O",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-len",
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n" + WHOLE[:5],
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n" + WHOLE[:5],
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n" + WHOLE[:5],
        b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n\x01",
        b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n\x80",
        b"HTTP/1.1 500 Oops\r\ncontent-length: 1\r\n\r\n\x80",
        b"\x00\xff nonsense\r\n\r\n",
    ],
)
async def test_an_answer_cut_anywhere_is_lost_and_never_whole(answer: bytes) -> None:
    async with _answering(answer, answer) as address:
        store = HttpStore(address)
        assert isinstance((await store.get("a")).unwrap_err(), AnswerLost)
        assert isinstance((await store.put("a", b"", ABSENT)).unwrap_err(), AnswerLost)


async def test_a_late_answer_is_not_handed_to_the_next_call() -> None:
    memory = MemoryStore(ManualClock())
    async with _served(memory) as store:
        for key in ("a", "b"):
            await store.put(key, key.encode(), ABSENT)
        asked, late = asyncio.Event(), asyncio.Event()

        async def held(seconds: float) -> None:
            asked.set()
            await late.wait()

        memory._sleep = held
        memory.plan = ScriptedFaults([Slow(1.0)], {CallKind.GET})
        given_up = asyncio.ensure_future(store.get("a"))
        await asked.wait()
        given_up.cancel()
        await asyncio.wait([given_up])
        late.set()
        for _ in range(3):
            assert (await store.get("b")).unwrap().value == b"b"  # type: ignore[union-attr]


async def test_after_a_silent_connection_no_idle_one_is_trusted() -> None:
    memory = MemoryStore(ManualClock())
    async with running(store_app(memory)) as target, SilentProxy(target) as proxy:
        store = HttpStore(proxy.address, 20.0)
        await asyncio.gather(*(store.get("a") for _ in range(4)))
        assert proxy.open == 4
        proxy.silence_open()
        store._client._timeout_s = 0.1
        assert isinstance((await store.get("a")).unwrap_err(), AnswerLost)
        store._client._timeout_s = 20.0
        assert await store.get("a") == Ok(None)
        assert proxy.taken == 5
        await store.close()
