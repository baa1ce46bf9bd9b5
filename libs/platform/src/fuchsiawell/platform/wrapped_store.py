"""Base of stores that do something before or after the calls of another one."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING, TypeVar

from fuchsiawell.platform.calls import CallKind
from fuchsiawell.platform.store import LeaseId, Record, Revision, Store, StoreError, WriteError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from result import Result

__all__ = ["WrappedStore"]

T = TypeVar("T")
E = TypeVar("E")


class WrappedStore(Store):
    """Pass each call on through `_call`, which a subclass defines."""

    def __init__(self, inner: Store) -> None:
        self._inner = inner

    async def get(self, key: str) -> Result[Record | None, StoreError]:
        """Read one key."""
        return await self._call(CallKind.GET, lambda: self._inner.get(key))

    async def list(self, prefix: str) -> Result[list[Record], StoreError]:
        """Read every key that starts with `prefix`, ordered by key."""
        return await self._call(CallKind.LIST, lambda: self._inner.list(prefix))

    async def put(
        self, key: str, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Record, WriteError]:
        """Write `value` if the key is still at revision `expected`."""
        return await self._call(CallKind.PUT, lambda: self._inner.put(key, value, expected, lease))

    async def delete(self, key: str, expected: Revision) -> Result[None, WriteError]:
        """Remove the key if it is still at revision `expected`."""
        return await self._call(CallKind.DELETE, lambda: self._inner.delete(key, expected))

    async def watch(
        self, key: str, after: Revision, timeout_s: float
    ) -> Result[Record | None, StoreError]:
        """Wait until the key is newer than `after`, at most `timeout_s`."""
        return await self._call(CallKind.WATCH, lambda: self._inner.watch(key, after, timeout_s))

    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, StoreError]:
        """Start a lease."""
        return await self._call(CallKind.GRANT_LEASE, lambda: self._inner.grant_lease(ttl_s))

    async def renew_lease(self, lease: LeaseId) -> Result[None, WriteError]:
        """Extend the lease by its full time."""
        return await self._call(CallKind.RENEW_LEASE, lambda: self._inner.renew_lease(lease))

    async def close(self) -> None:
        """Release connections."""
        await self._inner.close()

    @abstractmethod
    async def _call(
        self, kind: CallKind, call: Callable[[], Awaitable[Result[T, E]]]
    ) -> Result[T, E | StoreError]:
        """Make one call, or return an error in its place."""
