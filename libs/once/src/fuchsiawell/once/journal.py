"""Make intents durable in the store, many with one write."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, auto, unique
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from fuchsiawell.core import NotRunReason
from fuchsiawell.once.declarations import Declarations, raise_to
from fuchsiawell.once.entries import (
    ENTRY_BYTES,
    JournalFormatError,
    decode_journal,
    encode_entry,
    encode_journal,
)
from fuchsiawell.once.records import FoundIntent, JournalsRead
from fuchsiawell.once.requests import OutagePolicy
from fuchsiawell.platform import ABSENT, MAX_VALUE_BYTES, AnswerLost, Conflict, Revision

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiawell.core import Clock, ShardId
    from fuchsiawell.once.requests import OnceRequest
    from fuchsiawell.platform import Record as StoreRecord
    from fuchsiawell.platform import Store, StoreError, WriteError

__all__ = [
    "Journal",
    "JournalLimits",
    "JournalState",
    "NotRecorded",
    "Recorded",
    "Unjournaled",
    "journal_key",
    "journal_prefix",
]

HEADER_ROOM_BYTES = 64_000  # kept free for declarations


def journal_prefix(cell: str) -> str:
    """Return what the keys of all journals of a cell start with."""
    return f"cells/{cell}/journals/"


def journal_key(cell: str, daemon: str) -> str:
    """Return the key of one daemon's journal."""
    return f"{journal_prefix(cell)}{daemon}"


@dataclass(frozen=True, slots=True)
class JournalLimits:
    """Bound a journal's share of the store and its memory."""

    writes_per_s: float = 20.0  # this leader's share of the store's writes
    max_bytes: int = MAX_VALUE_BYTES
    max_waiting: int = 4_000  # intents that wait for a write
    patience_s: float = 1.0  # a write that takes longer counts as an outage
    retry_s: float = 0.5  # between writes while the store fails


@unique
class JournalState(Enum):
    """Say whether intents can be made durable."""

    UNOPENED = auto()  # this process has confirmed no write yet
    READY = auto()
    DOWN = auto()  # the last write failed, or its answer was lost
    DEPOSED = auto()  # another process writes this journal


@dataclass(frozen=True, slots=True)
class Recorded:
    """The intent is durable."""


@dataclass(frozen=True, slots=True)
class Unjournaled:
    """The intent is not durable; a successor knows that this may be so."""


@dataclass(frozen=True, slots=True)
class NotRecorded:
    """The intent may or may not be durable; the request must not be sent."""

    reason: NotRunReason


JournalAnswer = Recorded | Unjournaled | NotRecorded


@dataclass(slots=True, eq=False)
class _Entry:
    encoded: bytes
    window_s: float
    expires_s: float
    durable: asyncio.Future[JournalAnswer] | None = None


class Journal:
    """Write the intents of one leader process to its key in the store."""

    def __init__(
        self,
        store: Store,
        key: str,
        nonce: bytes,
        clock: Clock,
        limits: JournalLimits | None = None,
        on_deposed: Callable[[], None] = lambda: None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """Take 8 random bytes as the process's `nonce`."""
        self._store = store
        self._key = key
        self._nonce = nonce
        self._clock = clock
        self._declarations = Declarations(clock)
        self._seen: dict[str, tuple[Revision, float]] = {}  # other journals, and since when
        self._limits = limits or JournalLimits()
        self._on_deposed = on_deposed
        self._sleep = sleep
        self._entries_by_window: dict[float, dict[bytes, _Entry]] = {}  # each in order of expiry
        self._waiting: dict[bytes, _Entry] = {}
        self._carried: tuple[FoundIntent, ...] = ()
        self._revision = ABSENT
        self._write_number = 0
        self._next_write_s = clock.monotonic()
        self._flusher: asyncio.Task[None] | None = None
        self.state = JournalState.UNOPENED
        self.writes = 0  # confirmed ones
        self.intents = 0  # made durable

    async def open(self) -> Result[None, StoreError | WriteError | JournalFormatError]:
        """Take over the key from an earlier process of this daemon, keeping its intents.

        Call again after an error; nothing can be recorded before it succeeded.
        """
        found = await self._store.get(self._key)
        if isinstance(found, Err):
            return found
        try:
            self._carry(found.ok_value)
        except JournalFormatError as error:
            return Err(error)
        declared = self._declarations.to_write()
        written = await self._store.put(self._key, self._value((), declared), self._revision)
        if isinstance(written, Err):
            return written
        self._confirm(written.ok_value.revision, {}, declared)
        return Ok(None)

    async def read_others(
        self, prefix: str
    ) -> Result[JournalsRead, StoreError | JournalFormatError]:
        """Read what other leaders, and earlier processes of this daemon, may have sent.

        Only after `open`; call it once the leaders to be succeeded can run nothing more.
        """
        started_s = self._clock.monotonic()
        listed = await self._store.list(prefix)
        if isinstance(listed, Err):
            return listed
        if self.state in (JournalState.UNOPENED, JournalState.DEPOSED):
            return Err(JournalFormatError("read journals", self._key, "own journal is not open"))
        intents, windows = list(self._carried), self._declarations.carried()
        for record in listed.ok_value:
            if record.key == self._key:
                continue
            try:
                journal = decode_journal(record.value, record.key)
            except JournalFormatError as error:
                return Err(error)
            age_s = self._unchanged_s(record)
            intents.extend(i for i in journal.intents if age_s < i.resend_window_s)
            declared = journal.unjournaled_s_by_shard.items()
            windows = raise_to(windows, {shard: s for shard, s in declared if age_s < s})
        return Ok(JournalsRead(started_s, tuple(intents), windows))

    async def record(self, request: OnceRequest) -> JournalAnswer:
        """Make the intent of a free-form id durable; returns within the patience of the limits."""
        refused = self._refusal(request)
        if refused is not None:
            return refused
        durable = self._add(request)
        await asyncio.wait({durable}, timeout=self._limits.patience_s)
        if durable.done():
            return durable.result()
        if self._may_go_on(request):
            return Unjournaled()
        return NotRecorded(NotRunReason.JOURNAL_UNAVAILABLE)

    def declare(self, unjournaled_s_by_shard: dict[ShardId, float]) -> None:
        """Name the shards led now that go on in an outage, with their longest resend window.

        A successor answers unknown for that long after an unclean loss, so they go on only once
        this stands in the store.
        """
        self._declarations.lead(unjournaled_s_by_shard)
        if self._declarations.pending and self.state is JournalState.READY:
            self._wake()

    def retract(self, identity: bytes) -> None:
        """Leave out, from the next write on, an intent whose request is proved not to have run."""
        for entries in self._entries_by_window.values():
            entries.pop(identity, None)
        self._waiting.pop(identity, None)

    async def close(self) -> None:
        """Stop writing; what waits is not recorded."""
        if self._flusher is not None:
            self._flusher.cancel()
            await asyncio.gather(self._flusher, return_exceptions=True)
        self._fail_waiting()

    # -- private -------------------------------------------------------------------------------

    def _unchanged_s(self, record: StoreRecord) -> float:
        """Return for how long, at least, another journal has not been written."""
        now_s = self._clock.monotonic()
        seen = self._seen.get(record.key)
        if seen is None or seen[0] != record.revision:
            self._seen[record.key] = seen = (record.revision, now_s)
        return now_s - seen[1]

    def _refusal(self, request: OnceRequest) -> JournalAnswer | None:
        match self.state:
            case JournalState.UNOPENED | JournalState.DEPOSED:
                return NotRecorded(NotRunReason.JOURNAL_UNAVAILABLE)
            case JournalState.DOWN if self._may_go_on(request):
                return Unjournaled()
            case JournalState.DOWN:
                self._wake()
                return NotRecorded(NotRunReason.JOURNAL_UNAVAILABLE)
            case JournalState.READY:
                pass
        self._drop_expired()
        size = (self._kept_count() + len(self._waiting) + 1) * ENTRY_BYTES
        if size > self._limits.max_bytes - HEADER_ROOM_BYTES:
            return NotRecorded(NotRunReason.LEDGER_FULL)
        if len(self._waiting) >= self._limits.max_waiting:
            return NotRecorded(NotRunReason.JOURNAL_UNAVAILABLE)
        return None

    def _may_go_on(self, request: OnceRequest) -> bool:
        return (
            request.on_outage is OutagePolicy.GO_ON
            and self._declarations.covers(request.shard, request.resend_window_s)
            and self.state in (JournalState.READY, JournalState.DOWN)
        )

    def _add(self, request: OnceRequest) -> asyncio.Future[JournalAnswer]:
        identity = request.identity
        intent = FoundIntent(identity, request.content, request.place, request.resend_window_s)
        expires_s = self._clock.monotonic() + request.resend_window_s
        durable: asyncio.Future[JournalAnswer] = asyncio.get_running_loop().create_future()
        window_s = request.resend_window_s
        entry = _Entry(encode_entry(intent), window_s, expires_s, durable)
        self._waiting[identity] = entry
        self._wake()
        return durable

    def _wake(self) -> None:
        if self._flusher is None or self._flusher.done():
            self._flusher = asyncio.create_task(self._flush())

    async def _flush(self) -> None:
        while self._waiting or self._declarations.pending or self.state is JournalState.DOWN:
            await self._pace()
            batch = dict(self._waiting)
            self._waiting.clear()
            if not await self._write(batch):
                self._waiting = {**batch, **self._waiting}
            if self.state is JournalState.DEPOSED:
                self._fail_waiting()
                return

    async def _pace(self) -> None:
        wait_s = self._next_write_s - self._clock.monotonic()
        if wait_s > 0:
            await self._sleep(wait_s)
        self._next_write_s = self._clock.monotonic() + 1 / self._limits.writes_per_s

    async def _write(self, batch: dict[bytes, _Entry]) -> bool:
        self._drop_expired()
        entries = tuple(entry.encoded for entry in batch.values())
        declared = self._declarations.to_write()
        value = self._value(entries, declared)
        written = await self._store.put(self._key, value, self._revision)
        if isinstance(written, Ok):
            self._confirm(written.ok_value.revision, batch, declared)
            return True
        self.state = JournalState.DOWN
        self._next_write_s = self._clock.monotonic() + self._limits.retry_s
        match written.err_value:
            case AnswerLost():
                return await self._resolve(value, batch)
            case Conflict(current):
                return self._settle(current, value, batch)
            case _:
                return False

    async def _resolve(self, value: bytes, batch: dict[bytes, _Entry]) -> bool:
        found = await self._store.get(self._key)
        if isinstance(found, Err):
            return False
        return self._settle(found.ok_value, value, batch)

    def _settle(
        self, current: StoreRecord | None, value: bytes, batch: dict[bytes, _Entry]
    ) -> bool:
        """Compare what stands in the store with what was written; a late write may still come."""
        if current is None or not self._is_own(current):
            self.state = JournalState.DEPOSED
            self._on_deposed()
            return False
        if current.value == value:
            self._confirm(current.revision, batch, {})  # declared again with the next write
            return True
        self._revision = current.revision
        return False

    def _is_own(self, current: StoreRecord) -> bool:
        try:
            return decode_journal(current.value, self._key).nonce == self._nonce
        except JournalFormatError:
            return False

    def _confirm(
        self, revision: Revision, batch: dict[bytes, _Entry], declared: dict[ShardId, float]
    ) -> None:
        self._revision = revision
        self._declarations.confirm(declared)
        self.state = JournalState.READY
        self.writes += 1
        for identity, entry in batch.items():
            self._keep(identity, entry)
            self.intents += 1
            if entry.durable is not None and not entry.durable.done():
                entry.durable.set_result(Recorded())
            entry.durable = None

    def _fail_waiting(self) -> None:
        for entry in self._waiting.values():
            if entry.durable is not None and not entry.durable.done():
                entry.durable.set_result(NotRecorded(NotRunReason.JOURNAL_UNAVAILABLE))
        self._waiting.clear()

    def _value(self, added: tuple[bytes, ...], declared: dict[ShardId, float]) -> bytes:
        self._write_number += 1
        kept = (
            entry.encoded
            for entries in self._entries_by_window.values()
            for entry in entries.values()
        )
        return encode_journal(self._nonce, self._write_number, declared, (*kept, *added))

    def _keep(self, identity: bytes, entry: _Entry) -> None:
        entries = self._entries_by_window.setdefault(entry.window_s, {})
        entries.pop(identity, None)
        entries[identity] = entry

    def _kept_count(self) -> int:
        return sum(len(entries) for entries in self._entries_by_window.values())

    def _drop_expired(self) -> None:
        now_s = self._clock.monotonic()
        for entries in self._entries_by_window.values():
            while entries:
                identity, entry = next(iter(entries.items()))
                if entry.expires_s > now_s:
                    break
                del entries[identity]

    def _carry(self, found: StoreRecord | None) -> None:
        self._entries_by_window.clear()
        if found is None:
            self._revision = ABSENT
            return
        journal = decode_journal(found.value, self._key)
        now_s = self._clock.monotonic()
        for intent in journal.intents:
            window_s = intent.resend_window_s
            entry = _Entry(encode_entry(intent), window_s, now_s + window_s)
            self._keep(intent.identity, entry)
        self._carried = journal.intents
        if journal.nonce != self._nonce:
            self._declarations.carry(journal.unjournaled_s_by_shard)
        self._revision = found.revision
