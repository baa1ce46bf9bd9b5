"""One budget for the bytes that a daemon holds for slow clients and servers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from heapq import nlargest
from math import inf, sqrt
from typing import TYPE_CHECKING

from fuchsiawell.httpio import MAX_BUFFERED_BYTES, BufferMeter

if TYPE_CHECKING:
    from fuchsiawell.gateway.config.settings import Settings
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.httpio import Channel

__all__ = [
    "SHORT_BODY_BYTES",
    "SHORT_RESPONSE_BYTES",
    "USUAL_BODY_BYTES",
    "HeldBytes",
    "Holding",
    "Part",
]

# Part of the host's memory for what is held. The rest is for the process itself (24 MB), for
# connections without buffers, and for the short copies that parsing and joining make.
BUDGET_FRACTION = 0.4
BYTES_PER_MB = 1_000_000
# A connection takes this much beside its buffers (3,000 connections after one request each: 64 MB).
# What connections take beyond the part of the memory that is left for them, without the process
# itself (31 MB at rest), is taken from the budget: 3,000 slow clients need 160 MB otherwise.
CONNECTION_BYTES = 21_000
CONNECTIONS_FRACTION, PROCESS_BYTES = 0.5, 40_000_000
MIN_BUDGET_FRACTION = 0.1
# Waits and limits aim at this part of the budget. The rest is for what is never refused: responses
# that are ready, short bodies, and the least that each connection may buffer.
AIM_FRACTION = 0.9
# A request may hold this part of what is free, times the free part of the budget: those that hold
# most are slowed down first, and the less is free, the more of it is left to others.
FREE_SHARE = 1 / 2
# Part of the budget that is left to requests with bodies of the usual sizes. With 700 slow clients
# and 60 MB, bodies of 40 KB found no room without it.
RESERVE_FRACTION = 1 / 8
USUAL_BODY_BYTES = 64 * 1024
# What a request may hold in any case: of a body, and of a response.
SHORT_BODY_BYTES, SHORT_RESPONSE_BYTES = 4 * 1024, 16 * 1024
# The longest body that is buffered whole; memory is short when a request could not hold it.
MAX_BODY_BYTES = 1024 * 1024
# What a channel may buffer while memory is not ample, in each direction: this part of what a
# request may hold, within bounds. What is written of a response is a copy of what is held; with
# 64 KiB, 300 slow clients of long responses held 12 MB of copies.
CHANNEL_SHARE = 1 / 8
MIN_CHANNEL_BYTES, MAX_WRITTEN_BYTES = 4 * 1024, 16 * 1024
# Requests that wait for room and may hold FAVOURED_SHARE of what is free, without half of the
# reserve, the longest waiting first. Without them, many bodies that are read in part keep each
# other waiting until all are refused. The next ones get their turn after FAVOUR_S, unless the
# client has sent FAVOURED_BYTES in that time.
MAX_FAVOURED, FAVOURED_SHARE = 4, 1 / 2
FAVOUR_S, FAVOURED_BYTES = 0.5, 64 * 1024
# Interval of looking for room for requests that wait. A look takes about 1 us for each of them and
# for each connection that buffers anything, and is to take a few percent of a core at most.
MIN_CHECK_INTERVAL_S, CHECK_INTERVAL_PER_ITEM_S = 0.025, 25e-6
LOG_INTERVAL_S = 1.0
MAX_LOGGED = 3


class Holding:
    """What is held for one request; all of it is returned at the end of its `with` block."""

    def __init__(self, held: HeldBytes, channel: Channel | None) -> None:
        self.held = held
        self.channel = channel
        self.bytes = 0
        # Whether it may use the reserve.
        self.is_usual = False
        # Time for which the daemon waited for the client's bytes while memory was short.
        self.slow_s = 0.0
        # Until when it is favoured, in monotonic seconds, and what it held when that began.
        self.favoured_until_s = 0.0
        self.favoured_from_bytes = 0
        self._ended = False

    def __enter__(self) -> Holding:
        return self

    def __exit__(self, *_: object) -> None:
        self.add(-self.bytes)
        self._ended = True
        self.held.end_favour(self)

    def add(self, count: int) -> None:
        """Count bytes that are held from now on, or no longer if negative."""
        # An attempt that is cancelled may end after its request.
        if count and not self._ended:
            self.bytes += count
            self.held.record(self, count)


class Part:
    """Bytes of a holding that are returned if the `with` block ends with an error."""

    def __init__(self, holding: Holding) -> None:
        self._holding = holding
        self.bytes = 0

    def __enter__(self) -> Part:
        return self

    def __exit__(self, error_type: type[BaseException] | None, *_: object) -> None:
        if error_type is not None:
            self._holding.add(-self.bytes)

    def add(self, count: int) -> None:
        """Count bytes that are held from now on."""
        self.bytes += count
        self._holding.add(count)


@dataclass
class _Waiter:
    """A request that waits until it may hold `count` bytes more."""

    count: int
    granted: asyncio.Future[None]


class HeldBytes(BufferMeter):
    """Count what is held for all requests and connections, and say who may hold more."""

    def __init__(self, session: Session) -> None:
        self._session = session
        self._total = 0
        # Those that hold anything.
        self._holdings: set[Holding] = set()
        self._channels: set[Channel] = set()
        # Requests that wait for room, those that wait for longest first.
        self._waiters: dict[Holding, _Waiter] = {}
        self._favoured: list[Holding] = []
        self._check: asyncio.TimerHandle | None = None
        self._logged_s = -LOG_INTERVAL_S
        self._connection_count = 0
        # The settings that the limits below are from: they are not computed for each request.
        self._settings: Settings | None = None
        self._limit_bytes: int | None = None
        # While no more is held, memory is not short.
        self._ample_bytes = inf

    def hold(self, channel: Channel | None = None) -> Holding:
        """Return the holding of a request, a context manager."""
        return Holding(self, channel)

    def count_connection(self, change: int) -> None:
        """Record that a client has connected, or left if negative."""
        self._connection_count += change
        self._apply(self._session.settings)

    @property
    def total_bytes(self) -> int:
        """Return what is held now."""
        self._measure_all()
        return self._total

    @property
    def limit_bytes(self) -> int | None:
        """Return the budget, None without a bound."""
        settings = self._session.settings
        if settings is not self._settings:
            self._apply(settings)
        return self._limit_bytes

    @property
    def max_body_bytes(self) -> int:
        """Return how much of a body is buffered at most; a small budget takes several bodies."""
        limit_bytes = self.limit_bytes
        if limit_bytes is None:
            return MAX_BODY_BYTES
        return min(MAX_BODY_BYTES, max(SHORT_BODY_BYTES, int(limit_bytes / 16)))

    @property
    def is_short(self) -> bool:
        """Return whether a request may not hold as much as it ever needs."""
        if self._is_ample:
            return False
        allowance_bytes = self._allowance_bytes
        return allowance_bytes is not None and allowance_bytes < self.max_body_bytes

    @property
    def receive_limit_bytes(self) -> int:
        if self._is_ample:
            return MAX_BUFFERED_BYTES
        allowance_bytes = self._allowance_bytes
        if allowance_bytes is None or allowance_bytes >= MAX_BODY_BYTES:
            return MAX_BUFFERED_BYTES
        return max(MIN_CHANNEL_BYTES, int(allowance_bytes * CHANNEL_SHARE))

    @property
    def write_limit_bytes(self) -> int | None:
        if self._is_ample:
            return None
        limit_bytes = int((self._allowance_bytes or 0.0) * CHANNEL_SHARE)
        return max(MIN_CHANNEL_BYTES, min(MAX_WRITTEN_BYTES, limit_bytes))

    @property
    def _is_ample(self) -> bool:
        """Return whether any request may hold as much as it ever needs."""
        if self._session.settings is not self._settings:
            self._apply(self._session.settings)
        return self._total <= self._ample_bytes

    def _apply(self, settings: Settings) -> None:
        self._settings = settings
        memory_mb = settings.memory_mb
        if memory_mb is None:
            self._limit_bytes, self._ample_bytes = None, inf
            return
        memory_bytes = memory_mb * BYTES_PER_MB
        spare_bytes = max(0.0, memory_bytes * CONNECTIONS_FRACTION - PROCESS_BYTES)
        excess_bytes = max(0.0, self._connection_count * CONNECTION_BYTES - spare_bytes)
        budget_bytes = memory_bytes * BUDGET_FRACTION - excess_bytes
        self._limit_bytes = int(max(memory_bytes * MIN_BUDGET_FRACTION, budget_bytes))
        aim_bytes = self._limit_bytes * AIM_FRACTION
        most_bytes = MAX_BODY_BYTES + MAX_BUFFERED_BYTES
        free_bytes = sqrt(most_bytes * aim_bytes / FREE_SHARE)
        self._ample_bytes = aim_bytes * (1.0 - RESERVE_FRACTION) - free_bytes

    def measure(self, channel: Channel) -> None:
        count = channel.buffered_bytes
        self._total += count - channel.metered_bytes
        if count and not channel.metered_bytes:
            self._channels.add(channel)
        elif not count:
            self._channels.discard(channel)
        channel.metered_bytes = count
        if count and not self._is_ample:
            self._schedule_check()

    def record(self, holding: Holding, count: int) -> None:
        """Record that a request holds more, or less if negative."""
        self._total += count
        if holding.bytes:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)

    def allows(self, holding: Holding, count: int) -> bool:
        """Return whether a request may hold `count` bytes more now."""
        limit_bytes = self.limit_bytes
        wanted_bytes = holding.bytes + count
        if limit_bytes is None or wanted_bytes <= SHORT_BODY_BYTES or self._is_ample:
            return True
        allowance_bytes = self._allowance(limit_bytes, 0.0 if holding.is_usual else 1.0)
        if wanted_bytes <= allowance_bytes / (1.0 + holding.slow_s):
            return True
        return holding in self._favoured and wanted_bytes <= FAVOURED_SHARE * self._free_bytes(
            limit_bytes, 0.5
        )

    async def reserve(self, holding: Holding, count: int, until_s: float) -> bool:
        """Wait until a request may hold `count` bytes more, and count them; False if too late."""
        if self.allows(holding, count):
            holding.add(count)
            return True
        self.record_short()
        granted = asyncio.get_running_loop().create_future()
        self._waiters[holding] = _Waiter(count, granted)
        self._favour_next()
        self._schedule_check()
        try:
            async with asyncio.timeout(max(0.0, until_s - self._session.now_s)):
                await granted
        except TimeoutError:
            return granted.done() and not granted.cancelled()
        finally:
            self._waiters.pop(holding, None)
        return True

    def end_favour(self, holding: Holding) -> None:
        """Let another request use what is free."""
        if holding in self._favoured:
            self._favoured.remove(holding)

    def record_refused(self) -> None:
        """Count a request that is refused for want of memory."""
        self._session.metrics.count("held_bytes_refused")
        self.record_short()

    def record_short(self) -> None:
        """Log that memory is short, at most once in LOG_INTERVAL_S."""
        now_s = self._session.now_s
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        by_peer = [(h.bytes, h.channel) for h in self._holdings]
        by_peer += [(channel.metered_bytes, channel) for channel in self._channels]
        largest = nlargest(MAX_LOGGED, by_peer, key=lambda pair: pair[0])
        self._session.log.event(
            "memory short",
            bytes=self._total,
            limit_bytes=self.limit_bytes,
            requests=len(self._holdings),
            connections=len(self._channels),
            waiting=len(self._waiters),
            largest=[f"{channel.peer if channel else ''} {count}" for count, channel in largest],
        )

    @property
    def _allowance_bytes(self) -> float | None:
        limit_bytes = self.limit_bytes
        return None if limit_bytes is None else self._allowance(limit_bytes, 1.0)

    def _allowance(self, limit_bytes: int, reserve_part: float) -> float:
        """Return what a request may hold now that leaves a part of the reserve."""
        free_bytes = self._free_bytes(limit_bytes, reserve_part)
        return free_bytes * free_bytes / (limit_bytes * AIM_FRACTION) * FREE_SHARE

    def _free_bytes(self, limit_bytes: int, reserve_part: float) -> float:
        fraction = AIM_FRACTION * (1.0 - RESERVE_FRACTION * reserve_part)
        return max(0.0, limit_bytes * fraction - self._total)

    def _measure_all(self) -> None:
        """Measure the channels again: what a peer takes is not told."""
        for channel in list(self._channels):
            self.measure(channel)

    def _favour_next(self) -> None:
        """Favour the requests that have waited for longest, when the time of others is over."""
        now_s = self._session.now_s
        self._favoured = [h for h in self._favoured if self._keeps_favour(h, now_s)]
        for holding in self._waiters:
            if len(self._favoured) >= MAX_FAVOURED:
                break
            if holding not in self._favoured:
                self._favour(holding, now_s)
                self._favoured.append(holding)

    def _keeps_favour(self, holding: Holding, now_s: float) -> bool:
        if now_s < holding.favoured_until_s:
            return True
        if holding.bytes - holding.favoured_from_bytes < FAVOURED_BYTES:
            return False
        self._favour(holding, now_s)
        return True

    def _favour(self, holding: Holding, now_s: float) -> None:
        holding.favoured_until_s = now_s + FAVOUR_S
        holding.favoured_from_bytes = holding.bytes

    def _schedule_check(self) -> None:
        if self._check is None:
            loop = asyncio.get_running_loop()
            items = len(self._waiters) + len(self._channels)
            interval_s = max(MIN_CHECK_INTERVAL_S, CHECK_INTERVAL_PER_ITEM_S * items)
            self._check = loop.call_later(interval_s, self._grant_room)

    def _grant_room(self) -> None:
        """Let the requests go on for which there is room, in the order of their wait."""
        self._check = None
        self._measure_all()
        self._favour_next()
        for holding, waiter in list(self._waiters.items()):
            if self.allows(holding, waiter.count) and not waiter.granted.done():
                holding.add(waiter.count)
                waiter.granted.set_result(None)
                del self._waiters[holding]
        if self._waiters or (self._channels and not self._is_ample):
            self._schedule_check()
