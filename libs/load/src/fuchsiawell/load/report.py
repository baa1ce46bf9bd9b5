"""What a leader tells the controller about load, in bounded size."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgpack

from fuchsiawell.core import DaemonId, FuchsiawellError, ServerId, ServiceName, ShardId
from fuchsiawell.load.sketch import HeavyHitters

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "HotKey",
    "LoadMeter",
    "LoadReport",
    "LoadReportFormatError",
    "ServerLoad",
    "ShardLoad",
    "decode_load_report",
    "encode_load_report",
]

FORMAT = 1
MAX_SHARDS = 256  # heaviest shards named in one report; the others are in the server's total
MAX_HOT_KEYS = 32
KEYS_HELD = 128  # by the sketch: a key above 1/128 of the leader's load cannot hide
HALF_LIFE_S = 10.0  # of busy time; shorter follows noise, longer is late for a hot key


class LoadReportFormatError(FuchsiawellError):
    """Report bytes that are not a load report of a known format."""


@dataclass(frozen=True, slots=True)
class ShardLoad:
    """Hold the mean number of slots that a shard keeps busy; a pinned key is its own shard."""

    shard: ShardId
    busy: float


@dataclass(frozen=True, slots=True)
class HotKey:
    """Hold one key's busy slots; the true value is in `busy - error` to `busy`."""

    service: ServiceName
    key: str
    busy: float
    error: float


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Hold what the leader itself saw of one server; the server's own figures are not asked."""

    server: ServerId
    busy: float  # slots, decayed mean
    slots: int  # that the queue uses now, see `Admission.limit`
    queued: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold the load of all servers that one daemon leads."""

    daemon: DaemonId
    servers: tuple[ServerLoad, ...]
    shards: tuple[ShardLoad, ...]
    hot_keys: tuple[HotKey, ...]


class LoadMeter:
    """Measure busy time by server, shard and key on behalf of one leader."""

    def __init__(self, now_s: float, half_life_s: float = HALF_LIFE_S) -> None:
        self._half_life_s = half_life_s
        self._keys: HeavyHitters[tuple[ServiceName, str]] = HeavyHitters(
            KEYS_HELD, half_life_s, now_s
        )
        self._shards: HeavyHitters[tuple[ServerId, ShardId]] = HeavyHitters(
            MAX_SHARDS, half_life_s, now_s
        )
        self._servers: HeavyHitters[ServerId] = HeavyHitters(MAX_SHARDS, half_life_s, now_s)

    def record(
        self, server: ServerId, shard: ShardId, key: str, busy_s: float, now_s: float
    ) -> None:
        """Count one request that kept a slot of `server` for `busy_s`.

        A request that was shed counts with its expected time, so that the load shows what was
        asked of a server and not only what it could do.
        """
        self._servers.add(server, busy_s, now_s)
        self._shards.add((server, shard), busy_s, now_s)
        self._keys.add((shard.service, key), busy_s, now_s)

    def busy(self, server: ServerId, now_s: float) -> float:
        """Return the mean number of busy slots of `server`."""
        return self._servers.rate(server, now_s)

    def report(
        self, daemon: DaemonId, queues: Iterable[tuple[ServerId, int, int]], now_s: float
    ) -> LoadReport:
        """Return the report on servers given as (server, slots, queued), which `daemon` leads."""
        servers = tuple(
            ServerLoad(server, self._servers.rate(server, now_s), slots, queued)
            for server, slots, queued in queues
        )
        led = {load.server for load in servers}
        shards = tuple(
            ShardLoad(hitter.key[1], hitter.rate)
            for hitter in self._shards.top(MAX_SHARDS, now_s)
            if hitter.key[0] in led
        )
        hot_keys = tuple(
            HotKey(*hitter.key, hitter.rate, hitter.error)
            for hitter in self._keys.top(MAX_HOT_KEYS, now_s)
        )
        return LoadReport(daemon, servers, shards, hot_keys)


def encode_load_report(report: LoadReport) -> bytes:
    """Return the report as msgpack."""
    servers = [[load.server, load.busy, load.slots, load.queued] for load in report.servers]
    shards = [[load.shard.service, load.shard.index, load.busy] for load in report.shards]
    keys = [[hot.service, hot.key, hot.busy, hot.error] for hot in report.hot_keys]
    packed = msgpack.packb([FORMAT, report.daemon, servers, shards, keys], use_single_float=True)
    return bytes(packed)


def decode_load_report(value: bytes, peer: str) -> LoadReport:
    """Return the report that `peer` sent, or raise `LoadReportFormatError`."""
    try:
        found, daemon, servers, shards, keys = msgpack.unpackb(value)
        if found != FORMAT:
            raise ValueError(f"format {found}, this program reads {FORMAT}")
        return _from_fields(daemon, servers, shards, keys)
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        raise LoadReportFormatError("decode load report", peer, str(error)) from error


def _from_fields(daemon: str, servers: list[Any], shards: list[Any], keys: list[Any]) -> LoadReport:
    return LoadReport(
        DaemonId(daemon),
        tuple(ServerLoad(ServerId(s[0]), s[1], s[2], s[3]) for s in servers),
        tuple(ShardLoad(ShardId(ServiceName(s[0]), s[1]), s[2]) for s in shards),
        tuple(HotKey(ServiceName(k[0]), k[1], k[2], k[3]) for k in keys),
    )
