"""The key-value service in memory: the fake of tests, and the heart of the stand-in server."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from result import Err, Ok, Result

from fuchsiawell.platform import (
    ABSENT,
    MAX_VALUE_BYTES,
    AnswerLost,
    CallCounts,
    CallKind,
    Conflict,
    LeaseId,
    LeaseLapsed,
    Record,
    Revision,
    Store,
    StoreError,
    Unavailable,
    WriteError,
)
from fuchsiawell.standins.call_rates import CallRates
from fuchsiawell.standins.faults import (
    DropWatch,
    FaultPlan,
    Hang,
    LapseLeases,
    LoseAnswer,
    LoseRequest,
    NoFault,
    NoFaults,
    Refuse,
    Slow,
)
from fuchsiawell.standins.waiting import wait_for_first

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiawell.core import Clock

__all__ = ["MemoryStore"]

PEER = "store"

Records = list[Record]
T = TypeVar("T")
E = TypeVar("E")


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    lapses_at_s: float


class MemoryStore(Store):
    """Keep all keys of one process; revisions count the writes of the whole store."""

    def __init__(
        self,
        clock: Clock,
        plan: FaultPlan | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """Start empty; `sleep` waits in the time that `clock` shows."""
        self._clock = clock
        self._sleep = sleep
        self._records_by_key: dict[str, Record] = {}
        self._lease_by_key: dict[str, LeaseId] = {}
        self._leases_by_id: dict[LeaseId, _Lease] = {}
        self._revision = 0
        self._lease_count = 0
        self._watches_by_key: dict[str, set[asyncio.Event]] = {}
        self.plan: FaultPlan = plan or NoFaults()
        self.counts = CallCounts()
        self.rates = CallRates(clock)

    async def get(self, key: str) -> Result[Record | None, StoreError]:
        """Read one key."""
        return await self._served(CallKind.GET, key, lambda: Ok(self._records_by_key.get(key)))

    async def list(self, prefix: str) -> Result[list[Record], StoreError]:
        """Read every key that starts with `prefix`, ordered by key."""
        return await self._served(CallKind.LIST, prefix, lambda: Ok(self._matching(prefix)))

    async def put(
        self, key: str, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Record, WriteError]:
        """Write `value` if the key is still at revision `expected`."""
        return await self._served(CallKind.PUT, key, lambda: self._put(key, value, expected, lease))

    async def delete(self, key: str, expected: Revision) -> Result[None, WriteError]:
        """Remove the key if it is still at revision `expected`."""
        return await self._served(CallKind.DELETE, key, lambda: self._delete(key, expected))

    async def watch(
        self, key: str, after: Revision, timeout_s: float
    ) -> Result[Record | None, StoreError]:
        """Wait until the key is newer than `after`; a removal alone ends no watch."""

        async def wait() -> Result[Record | None, StoreError]:
            return Ok(await self._newer(key, after, timeout_s))

        return await self._faulted(CallKind.WATCH, key, wait)

    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, StoreError]:
        """Start a lease."""
        return await self._served(CallKind.GRANT_LEASE, "", lambda: Ok(self._grant_lease(ttl_s)))

    async def renew_lease(self, lease: LeaseId) -> Result[None, WriteError]:
        """Extend the lease by its full time."""
        return await self._served(CallKind.RENEW_LEASE, lease, lambda: self._renew_lease(lease))

    async def close(self) -> None:
        """Do nothing: the memory belongs to the process."""

    def lapse_leases(self) -> None:
        """Let every lease lapse at once."""
        for lease in self._leases_by_id.values():
            lease.lapses_at_s = self._clock.monotonic()
        self._drop_lapsed()

    async def _served(
        self, kind: CallKind, key: str, action: Callable[[], Result[T, E]]
    ) -> Result[T, E | StoreError]:
        async def run() -> Result[T, E]:
            self._drop_lapsed()
            return action()

        return await self._faulted(kind, key, run)

    async def _faulted(
        self, kind: CallKind, key: str, run: Callable[[], Awaitable[Result[T, E]]]
    ) -> Result[T, E | StoreError]:
        self.counts.add(kind)
        self.rates.add(kind)
        fault = self.plan.decide(kind, key)
        match fault:
            case Refuse():
                return Err(Unavailable(kind, PEER, "refused"))
            case LoseRequest():
                return Err(AnswerLost(kind, PEER, "lost before it took effect"))
            case LoseAnswer():
                await run()
                return Err(AnswerLost(kind, PEER, "lost after it took effect"))
            case Hang(hold_s, takes_effect):
                if takes_effect:
                    await run()
                await self._sleep(hold_s)
                return Err(AnswerLost(kind, PEER, "no answer in time"))
            case DropWatch() if kind is CallKind.WATCH:
                return Err(AnswerLost(kind, PEER, "watch dropped"))
            case Slow(delay_s):
                await self._sleep(delay_s)
            case LapseLeases():
                self.lapse_leases()
            case NoFault() | DropWatch():
                pass
        return await run()

    def _matching(self, prefix: str) -> Records:
        keys = sorted(key for key in self._records_by_key if key.startswith(prefix))
        return [self._records_by_key[key] for key in keys]

    def _put(
        self, key: str, value: bytes, expected: Revision, lease: LeaseId | None
    ) -> Result[Record, WriteError]:
        if len(value) > MAX_VALUE_BYTES:
            return Err(Unavailable(CallKind.PUT, PEER, f"value of {len(value)} bytes"))
        current = self._records_by_key.get(key)
        if _revision_of(current) != expected:
            return Err(Conflict(current))
        if lease is not None and lease not in self._leases_by_id:
            return Err(LeaseLapsed(lease))
        self._revision += 1
        record = Record(key, value, Revision(self._revision))
        self._records_by_key[key] = record
        self._bind(key, lease)
        for event in self._watches_by_key.get(key, ()):
            event.set()
        return Ok(record)

    def _bind(self, key: str, lease: LeaseId | None) -> None:
        if lease is None:
            self._lease_by_key.pop(key, None)
        else:
            self._lease_by_key[key] = lease

    def _delete(self, key: str, expected: Revision) -> Result[None, WriteError]:
        current = self._records_by_key.get(key)
        if _revision_of(current) != expected:
            return Err(Conflict(current))
        self._remove(key)
        return Ok(None)

    def _remove(self, key: str) -> None:
        if self._records_by_key.pop(key, None) is not None:
            self._revision += 1
        self._lease_by_key.pop(key, None)

    def _grant_lease(self, ttl_s: float) -> LeaseId:
        self._lease_count += 1
        lease = LeaseId(f"lease-{self._lease_count}")
        self._leases_by_id[lease] = _Lease(ttl_s, self._clock.monotonic() + ttl_s)
        return lease

    def _renew_lease(self, lease: LeaseId) -> Result[None, WriteError]:
        held = self._leases_by_id.get(lease)
        if held is None:
            return Err(LeaseLapsed(lease))
        held.lapses_at_s = self._clock.monotonic() + held.ttl_s
        return Ok(None)

    def _drop_lapsed(self) -> None:
        now_s = self._clock.monotonic()
        lapsed = {id for id, lease in self._leases_by_id.items() if lease.lapses_at_s <= now_s}
        for id in lapsed:
            del self._leases_by_id[id]
        for key in [key for key, id in self._lease_by_key.items() if id in lapsed]:
            self._remove(key)

    async def _newer(self, key: str, after: Revision, timeout_s: float) -> Record | None:
        event = asyncio.Event()
        watches = self._watches_by_key.setdefault(key, set())
        watches.add(event)
        timer = asyncio.ensure_future(self._sleep(timeout_s))
        try:
            while True:
                record = self._records_by_key.get(key)
                if record is not None and record.revision > after:
                    return record
                if timer.done():
                    return None
                event.clear()
                await wait_for_first(timer, event.wait())
        finally:
            timer.cancel()
            watches.discard(event)
            if not watches:
                self._watches_by_key.pop(key, None)


def _revision_of(record: Record | None) -> Revision:
    return ABSENT if record is None else record.revision
