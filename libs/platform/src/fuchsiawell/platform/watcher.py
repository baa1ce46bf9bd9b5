"""Follow one key of the store through outages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok

from fuchsiawell.platform.backoff import Backoff, BackoffSettings
from fuchsiawell.platform.store import ABSENT, Record, Revision, Store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    from random import Random

    from fuchsiawell.core import Clock

__all__ = ["watch_key"]

WATCH_S = 3.0  # a connection that went silent is found after this and the client's timeout
SHORTEST_WATCH_S = 0.05  # an empty answer that comes sooner is followed by a pause


async def watch_key(
    store: Store,
    key: str,
    clock: Clock,
    random: Random,
    after: Revision = ABSENT,
    watch_s: float = WATCH_S,
    backoff: BackoffSettings | None = None,
    on_error: Callable[[object], None] | None = None,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> AsyncIterator[Record]:
    """Yield each record newer than the ones before, the first newer than `after`; never ends.

    Records written in quick succession may be skipped. `on_error` is told each store error.
    """
    newest = after
    pauses = Backoff(random, backoff)
    while True:
        started_at_s = clock.monotonic()
        match await store.watch(key, newest, watch_s):
            case Ok(record) if record is not None and record.revision > newest:
                pauses.reset()
                newest = record.revision
                yield record
            case Ok(_) if clock.monotonic() - started_at_s >= SHORTEST_WATCH_S:
                pauses.reset()
            case Ok(_):
                await sleep(pauses.next_s())
            case Err(error):
                if on_error is not None:
                    on_error(error)
                await sleep(pauses.next_s())
