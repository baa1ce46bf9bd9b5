"""One HTTP exchange with a platform service, and whether it may have taken effect."""

from __future__ import annotations

import asyncio
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

import msgpack
from aiosonic import HTTPClient, TCPConnector
from aiosonic.connection import Connection
from aiosonic.exceptions import AiosonicError, BaseTimeout
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts
from result import Err, Ok, Result

from fuchsiawell.platform.store import AnswerLost, StoreError, Unavailable

__all__ = ["CONTENT_TYPE", "REFUSED_STATUS", "Answer", "PlatformClient"]

CONTENT_TYPE = "application/msgpack"
REFUSED_STATUS = 503  # the service promises that it did nothing
POOL_SIZE = 64  # connections; each waiting watch occupies one
MAX_IDLE_MS = 4_000  # shorter than the keep-alive of common servers


@dataclass(slots=True)
class _Attempt:
    """Remember whether any byte of the exchange was handed to a connection."""

    sent: bool = False


_attempt: ContextVar[_Attempt] = ContextVar("attempt")


class _OwnAnswersConnection(Connection):  # type: ignore[misc]
    """Mark the attempt once its first byte is written; serve no call after a failed one.

    The library would use a connection again whose answer did not come in time, and hand that
    answer to the next call.
    """

    def write(self, data: bytes) -> None:
        _attempt.get().sent = True
        super().write(data)

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: Any
    ) -> None:
        if error is not None:
            self.keep = False
            self.close()
        await super().__aexit__(kind, error, trace)


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold a whole answer: its status and the fields of its body."""

    status: int
    fields: dict[str, Any]


class PlatformClient:
    """Exchange msgpack maps over HTTP with one address.

    Only POST is used: the HTTP library sends other methods again by itself when a reused connection
    drops, and a compare-and-swap that is sent twice reports a conflict with itself.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._client = HTTPClient(
            TCPConnector(
                pool_configs={":default": PoolConfig(size=POOL_SIZE, max_conn_idle_ms=MAX_IDLE_MS)},
                connection_cls=_OwnAnswersConnection,
            ),
            trust_env=False,
            follow=False,
        )

    @property
    def address(self) -> str:
        """Return the IP number and port of the service."""
        return self._address

    async def call(
        self, step: str, fields: dict[str, Any], wait_s: float = 0.0
    ) -> Result[Answer, StoreError]:
        """Call `step` with `fields`; `wait_s` is the time the service may hold the answer back.

        `Unavailable` is returned only if nothing was sent or the service said that it did nothing.
        """
        attempt = _Attempt()
        token = _attempt.set(attempt)
        try:
            answer = await self._exchange(step, msgpack.packb(fields), self._timeout_s + wait_s)
        except (AiosonicError, OSError, EOFError, ValueError, asyncio.LimitOverrunError) as error:
            if isinstance(error, BaseTimeout):
                await self.close()  # what made one connection silent may have struck the idle ones
            detail = f"{type(error).__name__}: {error}"
            kind = AnswerLost if attempt.sent else Unavailable
            return Err(kind(step, self._address, detail))
        finally:
            _attempt.reset(token)
        if answer.status == REFUSED_STATUS:
            return Err(Unavailable(step, self._address, "refused by the service"))
        return Ok(answer)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.aclose()

    async def _exchange(self, step: str, body: bytes, timeout_s: float) -> Answer:
        timeouts = Timeouts(
            sock_connect=min(timeout_s, self._timeout_s),
            sock_read=timeout_s,
            pool_acquire=self._timeout_s,
            request_timeout=timeout_s,
        )
        response = await self._client.post(
            f"http://{self._address}/v1/{step}",
            data=body,
            headers={"content-type": CONTENT_TYPE},
            timeouts=timeouts,
        )
        return _whole_answer(response.status_code, await response.content())


def _whole_answer(status: int, body: bytes) -> Answer:
    """Return the answer, or raise `ValueError` where the body is cut or foreign.

    The library takes a header block that is cut for a whole one, so only the body is trusted.
    """
    try:
        fields = msgpack.unpackb(body)
    except (ValueError, msgpack.UnpackException) as error:
        raise ValueError(f"answer {status} has no whole body: {error!r}") from error
    if not isinstance(fields, dict):
        raise ValueError(f"answer {status} is not a map")
    return Answer(status, fields)
