"""The key-value service over HTTP; the protocol stands in docs/STANDINS.md."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypeVar

from result import Err, Ok, Result

from fuchsiawell.platform.calls import CallCounts, CallKind
from fuchsiawell.platform.http_client import PlatformClient
from fuchsiawell.platform.store import (
    MAX_VALUE_BYTES,
    AnswerLost,
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

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.platform.http_client import Answer

__all__ = ["HttpStore"]

DEFAULT_TIMEOUT_S = 2.0

T = TypeVar("T")


class HttpStore(Store):
    """Speak with the key-value service at one address."""

    def __init__(self, address: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        """Connect lazily to `address` (IP number and port); calls end within `timeout_s`."""
        self._client = PlatformClient(address, timeout_s)
        self.counts = CallCounts()

    async def get(self, key: str) -> Result[Record | None, StoreError]:
        """Read one key."""
        return await self._read(CallKind.GET, {"key": key}, _optional_record)

    async def list(self, prefix: str) -> Result[list[Record], StoreError]:
        """Read every key that starts with `prefix`, ordered by key."""
        return await self._read(CallKind.LIST, {"prefix": prefix}, _records)

    async def put(
        self, key: str, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Record, WriteError]:
        """Write `value` if the key is still at revision `expected`."""
        if len(value) > MAX_VALUE_BYTES:
            detail = f"value of {len(value)} bytes is over the limit of {MAX_VALUE_BYTES}"
            return Err(Unavailable(CallKind.PUT, self._client.address, detail))
        fields = {"key": key, "value": value, "expected": expected, "lease": lease}
        return await self._write(
            CallKind.PUT, fields, lambda answer: Record(key, value, _revision(answer))
        )

    async def delete(self, key: str, expected: Revision) -> Result[None, WriteError]:
        """Remove the key if it is still at revision `expected`."""
        fields = {"key": key, "expected": expected}
        return await self._write(CallKind.DELETE, fields, lambda _: None)

    async def watch(
        self, key: str, after: Revision, timeout_s: float
    ) -> Result[Record | None, StoreError]:
        """Wait until the key is newer than `after`, at most `timeout_s`."""
        fields = {"key": key, "after": after, "timeout_ms": int(timeout_s * 1000)}
        return await self._read(CallKind.WATCH, fields, _optional_record, wait_s=timeout_s)

    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, StoreError]:
        """Start a lease that lapses `ttl_s` seconds after its last renewal."""
        fields = {"ttl_ms": int(ttl_s * 1000)}
        return await self._read(
            CallKind.GRANT_LEASE, fields, lambda answer: LeaseId(answer["lease"])
        )

    async def renew_lease(self, lease: LeaseId) -> Result[None, WriteError]:
        """Extend the lease by its full time."""
        return await self._write(CallKind.RENEW_LEASE, {"lease": lease}, lambda _: None)

    async def close(self) -> None:
        """Release connections."""
        await self._client.close()

    async def _read(
        self,
        kind: CallKind,
        fields: dict[str, Any],
        parse: Callable[[dict[str, Any]], T],
        wait_s: float = 0.0,
    ) -> Result[T, StoreError]:
        self.counts.add(kind)
        match await self._client.call(kind, fields, wait_s):
            case Ok(answer) if answer.status == HTTPStatus.OK:
                return self._parsed(kind, answer, parse)
            case Ok(answer):
                return Err(self._unexpected(kind, answer))
            case Err(error):
                return Err(error)

    async def _write(
        self, kind: CallKind, fields: dict[str, Any], parse: Callable[[dict[str, Any]], T]
    ) -> Result[T, WriteError]:
        self.counts.add(kind)
        match await self._client.call(kind, fields):
            case Ok(answer) if answer.status == HTTPStatus.OK:
                return self._parsed(kind, answer, parse)
            case Ok(answer) if answer.status == HTTPStatus.CONFLICT:
                return self._parsed(kind, answer, _conflict).and_then(Err)
            case Ok(answer) if answer.status == HTTPStatus.GONE:
                return Err(LeaseLapsed(LeaseId(fields["lease"])))
            case Ok(answer):
                return Err(self._unexpected(kind, answer))
            case Err(error):
                return Err(error)

    def _parsed(
        self, kind: CallKind, answer: Answer, parse: Callable[[dict[str, Any]], T]
    ) -> Result[T, AnswerLost]:
        try:
            return Ok(parse(answer.fields))
        except (KeyError, TypeError, ValueError) as error:
            return Err(AnswerLost(kind, self._client.address, f"foreign answer: {error!r}"))

    def _unexpected(self, kind: CallKind, answer: Answer) -> StoreError:
        """Judge a status that the protocol does not name for this call."""
        detail = f"answered {answer.status}"
        if 400 <= answer.status < 500:  # refused as malformed, before anything was done
            return Unavailable(kind, self._client.address, detail)
        return AnswerLost(kind, self._client.address, detail)


def _record(fields: dict[str, Any]) -> Record:
    return Record(fields["key"], bytes(fields["value"]), _revision(fields))


def _revision(fields: dict[str, Any]) -> Revision:
    return Revision(int(fields["revision"]))


def _optional_record(fields: dict[str, Any]) -> Record | None:
    found = fields["record"]
    return None if found is None else _record(found)


def _records(fields: dict[str, Any]) -> list[Record]:
    return [_record(found) for found in fields["records"]]


def _conflict(fields: dict[str, Any]) -> Conflict:
    return Conflict(_optional_record(fields))
