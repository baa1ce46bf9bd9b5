"""Writes whose outcome is found out when their answer is lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from fuchsiawell.platform.backoff import Backoff
from fuchsiawell.platform.calls import CallKind
from fuchsiawell.platform.store import (
    ABSENT,
    AnswerLost,
    Conflict,
    LeaseId,
    LeaseLapsed,
    Record,
    Revision,
    Store,
    WriteError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from fuchsiawell.core import Clock, Deadline

__all__ = ["resolve_put"]

PEER = "store"


async def resolve_put(
    store: Store,
    key: str,
    value: bytes,
    expected: Revision,
    deadline: Deadline,
    clock: Clock,
    random: Random,
    lease: LeaseId | None = None,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> Result[Record, WriteError]:
    """Write `value` if the key is still at `expected`, and find out whether that took effect.

    The value must carry something that no other write of this key has, since it is how the write
    is recognised. When the answer is lost the key is read again; where it is unchanged the same
    write is sent again, as at most one of equal compare-and-swaps takes effect.

    `Ok`, `Conflict`, `LeaseLapsed` and `Unavailable` are certain. `AnswerLost` means that it could
    not be known: until the deadline nothing answered, or another write or the end of the lease
    covered the traces. A call under way at the deadline is waited for. With `expected` ABSENT, a
    key that others remove may be written again.
    """
    first = await store.put(key, value, expected, lease)
    if not _lost(first):
        return first
    backoff = Backoff(random)
    while not deadline.passed(clock):
        known = await _look(store, key, value, expected, lease)
        if known is not None:
            return known
        await sleep(min(backoff.next_s(), max(0.0, deadline.remaining_s(clock))))
    return Err(_unknown("the deadline passed"))


async def _look(
    store: Store, key: str, value: bytes, expected: Revision, lease: LeaseId | None
) -> Result[Record, WriteError] | None:
    """Return what became of the write, or `None` if this cannot be said yet."""
    match await store.get(key):
        case Ok(current) if _revision_of(current) == expected:
            return await _send_again(store, key, value, expected, lease)
        case Ok(current):
            return _judge(current, value)
        case Err():
            return None


async def _send_again(
    store: Store, key: str, value: bytes, expected: Revision, lease: LeaseId | None
) -> Result[Record, WriteError] | None:
    match await store.put(key, value, expected, lease):
        case Ok(record):
            return Ok(record)
        case Err(Conflict(current)):
            return _judge(current, value)
        case Err(LeaseLapsed()):
            return Err(_unknown("the lease lapsed meanwhile"))
        case _:
            return None


def _judge(current: Record | None, value: bytes) -> Result[Record, WriteError]:
    if current is not None and current.value == value:
        return Ok(current)
    return Err(_unknown("another write came after it, or instead of it"))


def _unknown(detail: str) -> AnswerLost:
    return AnswerLost(CallKind.PUT, PEER, detail)


def _lost(result: Result[Record, WriteError]) -> bool:
    return isinstance(result, Err) and isinstance(result.err_value, AnswerLost)


def _revision_of(record: Record | None) -> Revision:
    return ABSENT if record is None else record.revision
