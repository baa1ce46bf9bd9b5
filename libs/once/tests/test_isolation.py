from __future__ import annotations

import asyncio

from fuchsiawell.bench.once.virtual import LoopClock, run_virtual
from fuchsiawell.core import ServerId
from fuchsiawell.once.isolation import Convicted, Isolation
from fuchsiawell.once.suspects import Flight, Suspects

A = ServerId("a")


def test_a_suspect_runs_alone_and_later_requests_wait() -> None:
    async def main() -> None:
        suspects = Suspects(LoopClock())
        suspects.suspect(b"odd")
        isolation = Isolation(suspects)
        first = await isolation.enter(A, b"1")
        tasks = [asyncio.create_task(isolation.enter(A, digest)) for digest in (b"odd", b"2")]
        await asyncio.sleep(1)
        assert not any(task.done() for task in tasks)
        assert isinstance(first, Flight)
        isolation.answered(first)
        odd = await tasks[0]
        await asyncio.sleep(1)
        assert isinstance(odd, Flight) and odd.alone and not tasks[1].done()
        isolation.answered(odd)
        assert isinstance(await tasks[1], Flight)

    run_virtual(main())


def test_after_a_broken_suspect_nothing_is_sent_until_the_server_is_known() -> None:
    async def main() -> None:
        for found in ("alive", "lost", "neither"):
            suspects = Suspects(LoopClock())
            suspects.suspect(b"odd")
            isolation = Isolation(suspects)
            odd = await isolation.enter(A, b"odd")
            assert isinstance(odd, Flight)
            isolation.broke(odd)
            waiting = asyncio.create_task(isolation.enter(A, b"1"))
            again = asyncio.create_task(isolation.enter(A, b"odd"))
            await asyncio.sleep(1)
            assert not waiting.done()
            if found == "alive":
                isolation.server_alive(A)
            elif found == "lost":
                assert isolation.server_lost(A).convicted == (b"odd",)
            assert isinstance(await waiting, Flight)
            isolation.answered(waiting.result())  # type: ignore[arg-type]
            assert isinstance(await again, Convicted if found == "lost" else Flight)

    run_virtual(main())


def test_a_cancelled_suspect_holds_up_nobody() -> None:
    async def main() -> None:
        suspects = Suspects(LoopClock())
        suspects.suspect(b"odd")
        isolation = Isolation(suspects)
        await isolation.enter(A, b"1")
        odd = asyncio.create_task(isolation.enter(A, b"odd"))
        later = asyncio.create_task(isolation.enter(A, b"2"))
        await asyncio.sleep(0)
        odd.cancel()
        assert isinstance(await later, Flight)

    run_virtual(main())
