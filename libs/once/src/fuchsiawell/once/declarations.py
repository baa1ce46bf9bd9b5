"""Which shards a leader may serve without a journal while the store is down."""

from __future__ import annotations

from struct import Struct
from typing import TYPE_CHECKING

from fuchsiawell.core import ServiceName, ShardId

if TYPE_CHECKING:
    from fuchsiawell.core import Clock

__all__ = ["Declarations", "decode_declarations", "encode_declarations", "raise_to"]

GROUP = Struct(">HIH")  # bytes of the service's name, window in seconds, number of shards
INDEX = Struct(">I")


class Declarations:
    """Hold what the journal of a process must declare before it may go on in an outage.

    A successor answers unknown to free-form ids of a declared shard for its window. A shard that
    is led no more stays declared for that long, as its successor may not have read it yet.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._led: dict[ShardId, float] = {}
        self._left: dict[ShardId, tuple[float, float]] = {}  # window, and until when it is kept
        self._carried: dict[ShardId, float] = {}
        self._carried_s = 0.0
        self._confirmed: dict[ShardId, float] = {}

    def lead(self, windows_s: dict[ShardId, float]) -> None:
        """Name the shards led now that go on in an outage, with their longest resend window."""
        now_s = self._clock.monotonic()
        for shard, window_s in self._led.items():
            if shard not in windows_s:
                self._left[shard] = (window_s, now_s + window_s)
        self._led = dict(windows_s)

    def carry(self, found: dict[ShardId, float]) -> None:
        """Keep what an earlier process of this daemon declared, for as long as it matters."""
        self._carried = raise_to(self._carried, found)
        self._carried_s = self._clock.monotonic()

    def carried(self) -> dict[ShardId, float]:
        """Return what an earlier process of this daemon may have run without a journal."""
        age_s = self._clock.monotonic() - self._carried_s
        return {shard: window_s for shard, window_s in self._carried.items() if age_s < window_s}

    def to_write(self) -> dict[ShardId, float]:
        """Return what the next value of the journal must declare."""
        now_s = self._clock.monotonic()
        self._left = {shard: left for shard, left in self._left.items() if left[1] > now_s}
        left = {shard: window_s for shard, (window_s, _) in self._left.items()}
        return raise_to(raise_to(self.carried(), left), self._led)

    def confirm(self, written: dict[ShardId, float]) -> None:
        """Note that a value with these declarations stands in the store."""
        self._confirmed = written

    @property
    def pending(self) -> bool:
        """Tell whether a shard that is led now is not declared yet."""
        return any(self._confirmed.get(shard, 0.0) < s for shard, s in self._led.items())

    def covers(self, shard: ShardId, window_s: float) -> bool:
        """Tell whether work with this resend window may go on without a journal."""
        return shard in self._led and window_s <= self._confirmed.get(shard, 0.0)


def raise_to(windows_s: dict[ShardId, float], other: dict[ShardId, float]) -> dict[ShardId, float]:
    """Return the longer window of each shard."""
    raised = dict(windows_s)
    for shard, window_s in other.items():
        raised[shard] = max(window_s, raised.get(shard, 0.0))
    return raised


def encode_declarations(windows_s: dict[ShardId, float]) -> tuple[int, bytes]:
    """Return the number of groups and their bytes."""
    groups: dict[tuple[ServiceName, int], list[int]] = {}
    for shard, window_s in sorted(windows_s.items()):
        groups.setdefault((shard.service, int(-(-window_s // 1))), []).append(shard.index)
    parts = []
    for (service, seconds), indexes in groups.items():
        name = service.encode()
        parts.append(GROUP.pack(len(name), seconds, len(indexes)) + name)
        parts.extend(INDEX.pack(index) for index in indexes)
    return len(groups), b"".join(parts)


def decode_declarations(value: bytes, at: int, groups: int) -> tuple[dict[ShardId, float], int]:
    """Return the windows that stand at `at`, and where they end; raise `struct.error`."""
    windows_s: dict[ShardId, float] = {}
    for _ in range(groups):
        length, seconds, count = GROUP.unpack_from(value, at)
        at += GROUP.size
        service = ServiceName(value[at : at + length].decode())
        at += length
        for _ in range(count):
            (index,) = INDEX.unpack_from(value, at)
            windows_s[ShardId(service, index)] = float(seconds)
            at += INDEX.size
    return windows_s, at
