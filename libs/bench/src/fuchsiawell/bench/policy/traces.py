"""Seeded arrivals and losses in the shapes of both users' sites."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from itertools import accumulate
from random import Random
from typing import TYPE_CHECKING

from fuchsiawell.config.configuration import Goal
from fuchsiawell.core import ServiceName

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["TRACES", "Arrival", "Outage", "Site", "Trace", "arrivals"]

DURATION_S = 300.0
SERVICE_SHAPE = 4.0  # of a gamma distribution: a deviation of half the mean
HOT_KEYS = 51
READ_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class Site:
    """Describe the servers of one service at one user's site."""

    service: ServiceName
    zones: tuple[str, ...]
    servers: int
    slots: int
    service_s: float  # mean time that a request keeps a slot
    deadline_s: float
    keys: int
    goal: Goal

    def zone_of(self, server: int) -> str:
        """Return the zone of a server, given by number."""
        return self.zones[server % len(self.zones)]

    def in_zone(self, zone: str) -> tuple[int, ...]:
        """Return the servers of one zone."""
        return tuple(s for s in range(self.servers) if self.zone_of(s) == zone)


MOSHI = Site(
    ServiceName("status-desk"),
    ("moshi-mjini", "himo", "boma-ngombe", "rombo"),
    servers=20,
    slots=2,
    service_s=0.05,
    deadline_s=0.5,
    keys=20_000,
    goal=Goal.IMBALANCE,
)
VITI = Site(
    ServiceName("penwatch"),
    ("lautoka", "saweni", "vuda"),
    servers=20,
    slots=4,
    service_s=0.1,
    deadline_s=0.8,
    keys=5_000,
    goal=Goal.UNAVAILABLE_TIME,
)


@dataclass(frozen=True, slots=True)
class Outage:
    """Say from when to when servers are gone."""

    servers: tuple[int, ...]
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class Hot:
    """Give some keys a share of all requests for a while."""

    first_key: int
    count: int
    share: float
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class Trace:
    """Describe five minutes of a site."""

    name: str
    site: Site
    loads: tuple[tuple[float, float], ...]  # (time, offered share of all slots), linear between
    skew: float  # exponent of the keys' Zipf distribution
    hot: tuple[Hot, ...] = ()
    outages: tuple[Outage, ...] = ()
    lying: tuple[int, ...] = ()  # servers whose load endpoint always says idle
    slow_server: int | None = None  # takes half as long again for each request

    def load_at(self, now_s: float) -> float:
        """Return the offered load."""
        for (t0, l0), (t1, l1) in zip(self.loads, self.loads[1:], strict=False):
            if t0 <= now_s < t1:
                return l0 + (l1 - l0) * (now_s - t0) / (t1 - t0)
        return self.loads[-1][1]


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold one request: when it comes, for which key, for how long it keeps a slot."""

    at_s: float
    key: int
    service_s: float
    is_read: bool  # equal to any other read of the key


@lru_cache(maxsize=1)
def arrivals(trace: Trace, seed: int) -> tuple[Arrival, ...]:
    """Return the trace's requests in order; equal seeds give equal requests."""
    return tuple(_draw(trace, seed))


def _draw(trace: Trace, seed: int) -> Iterator[Arrival]:
    random = Random(f"{trace.name}/{seed}")
    site = trace.site
    cumulative = list(accumulate((rank + 1) ** -trace.skew for rank in range(site.keys)))
    key_by_rank = random.sample(range(site.keys), site.keys)
    now_s = 0.0
    while True:
        rate = trace.load_at(now_s) * site.servers * site.slots / site.service_s
        now_s += random.expovariate(rate)
        if now_s >= DURATION_S:
            return
        key = _hot_key(trace, now_s, random)
        if key is None:
            key = random.choices(key_by_rank, cum_weights=cumulative)[0]
        service_s = random.gammavariate(SERVICE_SHAPE, site.service_s / SERVICE_SHAPE)
        yield Arrival(now_s, key, service_s, random.random() < READ_SHARE)


def _hot_key(trace: Trace, now_s: float, random: Random) -> int | None:
    chance = random.random()
    for hot in trace.hot:
        if hot.from_s <= now_s < hot.until_s:
            if chance < hot.share:
                return hot.first_key + int(chance / hot.share * hot.count)
            chance -= hot.share
    return None


def _shifting_sets(every_s: float, share: float) -> tuple[Hot, ...]:
    return tuple(
        Hot(turn * HOT_KEYS, HOT_KEYS, share, turn * every_s, (turn + 1) * every_s)
        for turn in range(int(DURATION_S / every_s))
    )


TRACES = (
    Trace(
        "market-day",
        MOSHI,
        ((0.0, 0.4), (120.0, 0.75), (DURATION_S, 0.75)),
        skew=0.8,
        hot=(Hot(7, 1, 0.025, 0.0, DURATION_S),),
    ),
    Trace(
        "pen-check",
        VITI,
        ((0.0, 0.55), (DURATION_S, 0.55)),
        skew=0.6,
        hot=(Hot(11, 1, 0.08, 60.0, 240.0),),
    ),
    Trace("skew", MOSHI, ((0.0, 0.65), (DURATION_S, 0.65)), skew=0.9),
    Trace(
        "hot-shift",
        MOSHI,
        ((0.0, 0.65), (DURATION_S, 0.65)),
        skew=0.5,
        hot=_shifting_sets(100.0, 0.4),
    ),
    Trace(
        "server-loss",
        VITI,
        ((0.0, 0.6), (DURATION_S, 0.6)),
        skew=0.6,
        outages=(Outage((3, 11), 100.0, 200.0),),
    ),
    Trace(
        "lying-endpoint",
        VITI,
        ((0.0, 0.6), (DURATION_S, 0.6)),
        skew=0.6,
        lying=(2, 7),
        slow_server=5,
    ),
    Trace(
        "zone-loss",
        MOSHI,
        ((0.0, 0.55), (DURATION_S, 0.55)),
        skew=0.8,
        outages=(Outage(MOSHI.in_zone("himo"), 120.0, 210.0),),
    ),
)
