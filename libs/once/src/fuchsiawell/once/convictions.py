"""Suspects and convictions in the store, for leaders that start or take over later."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

import msgpack
from result import Err, Ok, Result

from fuchsiawell.core import FuchsiawellError
from fuchsiawell.platform import ABSENT, AnswerLost, Conflict

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.core import Clock
    from fuchsiawell.once.suspects import Suspects
    from fuchsiawell.platform import Revision, Store, StoreError, WriteError

__all__ = ["ConvictionRecord", "Convictions", "ConvictionsFormatError", "convictions_key"]

FORMAT = 1
MAX_TRIES = 5  # of one change, against other leaders that write at the same time
MAX_ENTRIES = 3_000  # those that end first are left out
KEEP = timedelta(hours=1)


def convictions_key(cell: str) -> str:
    """Return the key of a cell's suspects and convictions."""
    return f"cells/{cell}/convictions"


class ConvictionsFormatError(FuchsiawellError):
    """Report a value of an unknown format."""


@dataclass(frozen=True, slots=True)
class ConvictionRecord:
    """Hold until when each digest is suspect, or convicted, by the wall clock.

    A clock that jumps ends a conviction early or late; no promise to callers rests on it.
    """

    suspects: dict[bytes, datetime] = field(default_factory=dict)
    convicted: dict[bytes, datetime] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the record as msgpack."""
        parts = ({d: until.timestamp() for d, until in p.items()} for p in self._parts())
        return bytes(msgpack.packb([FORMAT, *parts]))

    @classmethod
    def decode(cls, value: bytes, peer: str) -> ConvictionRecord:
        """Return the record that stood under `peer`, or raise `ConvictionsFormatError`."""
        try:
            found, *parts = msgpack.unpackb(value)
            if found != FORMAT:
                raise ValueError(f"format {found}")
            suspects, convicted = (
                {digest: datetime.fromtimestamp(until, UTC) for digest, until in part.items()}
                for part in parts
            )
        except (ValueError, TypeError, AttributeError, msgpack.UnpackException) as error:
            raise ConvictionsFormatError("decode convictions", peer, str(error)) from error
        return cls(suspects, convicted)

    def merged(
        self, suspects: frozenset[bytes], convicted: frozenset[bytes], now: datetime
    ) -> ConvictionRecord:
        """Return the record with digests added and without those that have ended."""
        return ConvictionRecord(
            _kept(dict.fromkeys(suspects, now + KEEP) | self.suspects, now),
            _kept(dict.fromkeys(convicted, now + KEEP) | self.convicted, now),
        )

    def without(self, digest: bytes) -> ConvictionRecord:
        """Return the record without one digest."""
        suspects, convicted = (
            {found: until for found, until in part.items() if found != digest}
            for part in self._parts()
        )
        return ConvictionRecord(suspects, convicted)

    def _parts(self) -> tuple[dict[bytes, datetime], dict[bytes, datetime]]:
        return self.suspects, self.convicted


def _kept(until_by_digest: dict[bytes, datetime], now: datetime) -> dict[bytes, datetime]:
    lasting = [(until, digest) for digest, until in until_by_digest.items() if until > now]
    return {digest: until for until, digest in sorted(lasting)[-MAX_ENTRIES:]}


class Convictions:
    """Share what one daemon's `Suspects` hold with the cell."""

    def __init__(self, store: Store, key: str, clock: Clock, suspects: Suspects) -> None:
        self._store = store
        self._key = key
        self._clock = clock
        self._suspects = suspects
        self._shared: frozenset[bytes] = frozenset()  # convictions that the store once had
        self._adopted: dict[bytes, datetime] = {}  # suspects, which may be cleared since

    async def share(self) -> Result[None, StoreError | WriteError | ConvictionsFormatError]:
        """Add own suspects and convictions to the store's, and take over the result."""
        now = self._clock.now()
        suspects, convicted = self._suspects.suspects(), self._suspects.convicted()

        def add(record: ConvictionRecord) -> ConvictionRecord:
            released = self._shared - record.convicted.keys()
            return record.merged(suspects - released, convicted - released, now)

        changed = await self._change(add)
        if isinstance(changed, Err):
            return changed
        self._adopt(changed.ok_value)
        return Ok(None)

    async def refresh(self) -> Result[None, StoreError | ConvictionsFormatError]:
        """Take over what the store holds; what an operator removed there is released here."""
        read = await self._read()
        if isinstance(read, Err):
            return read
        self._adopt(read.ok_value[0])
        return Ok(None)

    async def release(
        self, digest: bytes
    ) -> Result[None, StoreError | WriteError | ConvictionsFormatError]:
        """Remove a digest for all daemons, as an operator asked."""
        self._suspects.release(digest)
        changed = await self._change(lambda record: record.without(digest))
        return changed if isinstance(changed, Err) else Ok(None)

    async def _change(
        self, change: Callable[[ConvictionRecord], ConvictionRecord]
    ) -> Result[ConvictionRecord, StoreError | WriteError | ConvictionsFormatError]:
        last: StoreError | WriteError | ConvictionsFormatError = Conflict(None)
        for _ in range(MAX_TRIES):
            read = await self._read()
            if isinstance(read, Err):
                return read
            record, revision = read.ok_value
            changed = change(record)
            if changed == record:
                return Ok(record)  # also where the answer to the try before was lost
            written = await self._store.put(self._key, changed.encode(), revision)
            if isinstance(written, Ok):
                return Ok(changed)
            last = written.err_value
            if not isinstance(last, Conflict | AnswerLost):
                break
        return Err(last)

    async def _read(
        self,
    ) -> Result[tuple[ConvictionRecord, Revision], StoreError | ConvictionsFormatError]:
        found = await self._store.get(self._key)
        if isinstance(found, Err):
            return found
        if found.ok_value is None:
            return Ok((ConvictionRecord(), ABSENT))
        try:
            record = ConvictionRecord.decode(found.ok_value.value, self._key)
        except ConvictionsFormatError as error:
            return Err(error)
        return Ok((record, found.ok_value.revision))

    def _adopt(self, record: ConvictionRecord) -> None:
        now = self._clock.now()
        convicted = frozenset(d for d, until in record.convicted.items() if until > now)
        for digest in self._shared - convicted:
            self._suspects.release(digest)
        self._shared = convicted
        for digest, until in record.suspects.items():
            if until > now and self._adopted.get(digest) != until:
                self._suspects.suspect(digest)
        self._adopted = dict(record.suspects)
        for digest in convicted:
            if not self._suspects.is_convicted(digest):
                self._suspects.convict(digest)
