"""This product's keys in the platform's store, and the form of what is stored there."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgpack

from fuchsiawell.gateway.session.state import Peer
from fuchsiawell.shards import decode_map

if TYPE_CHECKING:
    from fuchsiawell.shards import ShardMap

__all__ = [
    "DAEMONS_PREFIX",
    "ELECTIONS_PREFIX",
    "GRANTER_KEY",
    "MAP_ERAS_PREFIX",
    "OWN_PREFIX",
    "PAST_GRANTERS_PREFIX",
    "SHARDS_PREFIX",
    "decode_map_era",
    "decode_peer",
    "decode_stored_map",
    "encode_peer",
]

OWN_PREFIX = "fuchsiawell/"
DAEMONS_PREFIX = OWN_PREFIX + "daemons/"
SHARDS_PREFIX = OWN_PREFIX + "shards/"
# The era of the store in which the term of the map began, in digits, by service; only in eras that
# terms do not show.
MAP_ERAS_PREFIX = OWN_PREFIX + "map-eras/"
# Granters of earlier terms that may still renew grants, by service.
PAST_GRANTERS_PREFIX = OWN_PREFIX + "past-granters/"
# Written by each daemon at its election, under the granter's lease: its revision shows that the
# lease has not ended.
ELECTIONS_PREFIX = OWN_PREFIX + "elections/"
# Its value is the name of the elected granter; written under the granter's lease.
GRANTER_KEY = OWN_PREFIX + "granter"
# Addresses that a socket accepts: it fails for good on others.
HOST = re.compile(r"[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*|[0-9A-Fa-f]*:[0-9A-Fa-f:.]*")
MAX_PORT = 65535
MAX_ERA_DIGITS = 19
MAX_CAPACITY_CORES = 1e6
# Names of hosts are no longer either.
MAX_NAME_CHARACTERS = 253


def decode_stored_map(key: str, value: bytes) -> ShardMap:
    """Return the map that is stored under a key; raises ValueError, also for another service's."""
    shard_map = decode_map(value)
    if key != SHARDS_PREFIX + shard_map.service:
        raise ValueError("shard map of another service")
    return shard_map


def decode_map_era(value: bytes) -> int:
    """Return the era that is stored for a map; raises ValueError."""
    if not (value.isascii() and value.isdigit() and len(value) <= MAX_ERA_DIGITS):
        raise ValueError("not the era of a map")
    return int(value)


def encode_peer(peer: Peer) -> bytes:
    row = [peer.name, peer.start_id, peer.host, peer.port, peer.zone, peer.capacity_cores]
    return bytes(msgpack.packb(row))


def decode_peer(key: str, value: bytes) -> Peer:
    """Return the daemon whose entry is stored under a key; raises ValueError."""
    try:
        peer = Peer(*msgpack.unpackb(value))
    except (msgpack.UnpackException, TypeError, ValueError) as error:
        raise ValueError(f"malformed daemon entry: {error}") from error
    texts = (peer.name, peer.start_id, peer.host, peer.zone)
    if not all(
        isinstance(text, str) and len(text) <= MAX_NAME_CHARACTERS for text in texts
    ) or not HOST.fullmatch(peer.host):
        raise ValueError("malformed daemon entry: name, host or zone is unusable")
    if key != DAEMONS_PREFIX + peer.name:
        raise ValueError("malformed daemon entry: it is of another daemon")
    if not isinstance(peer.port, int) or not 0 <= peer.port <= MAX_PORT:
        raise ValueError("malformed daemon entry: port is out of range")
    if not isinstance(peer.capacity_cores, (int, float)) or not (
        0.0 <= peer.capacity_cores <= MAX_CAPACITY_CORES
    ):
        raise ValueError("malformed daemon entry: capacity is out of range")
    return peer
