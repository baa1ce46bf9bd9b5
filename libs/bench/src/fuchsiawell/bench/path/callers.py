"""Keep-alive callers that cost little themselves."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

import httptools
from hdrh.histogram import HdrHistogram

from fuchsiawell.core import FuchsiawellError

__all__ = ["CallerError", "Load", "drive"]

HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


class CallerError(FuchsiawellError):
    """Report an answer that a measurement must not count."""


@dataclass(slots=True)
class Load:
    """Hold what the callers saw."""

    requests: int = 0
    seconds: float = 0.0
    waits_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)
    )

    def wait_ms(self, percentile: float) -> float:
        """Return the wait that `percentile` in 100 requests stayed below."""
        return float(self.waits_us.get_value_at_percentile(percentile)) / 1_000


async def drive(addresses: list[str], targets: list[str], callers: int, requests: int) -> Load:
    """Let each caller send its share of `requests`, one at a time, on one connection."""
    load = Load()
    started_s = time.perf_counter()
    share = requests // callers
    await asyncio.gather(
        *(
            _call(addresses[n % len(addresses)], targets[n % len(targets)], share, load)
            for n in range(callers)
        )
    )
    load.seconds = time.perf_counter() - started_s
    return load


async def _call(address: str, target: str, requests: int, load: Load) -> None:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    data = f"GET {target} HTTP/1.1\r\nhost: {address}\r\nstandin-service-ms: 0\r\n\r\n".encode()
    transport, caller = await loop.create_connection(_Caller, host, int(port))
    try:
        for _ in range(requests):
            started_s = time.perf_counter()
            status = await caller.ask(data)
            if status != 200:
                raise CallerError("measure", address, f"answer {status}")
            load.requests += 1
            load.waits_us.record_value(int((time.perf_counter() - started_s) * US_PER_S))
    finally:
        transport.close()


class _Caller(asyncio.Protocol):
    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._answered: asyncio.Future[int] | None = None
        self._parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def ask(self, data: bytes) -> asyncio.Future[int]:
        assert self._transport is not None
        self._answered = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(data)
        return self._answered

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        if self._answered is not None and not self._answered.done():
            self._answered.set_result(self._parser.get_status_code())

    def connection_lost(self, exc: Exception | None) -> None:
        if self._answered is not None and not self._answered.done():
            self._answered.set_exception(CallerError("measure", "daemon", "connection lost"))
