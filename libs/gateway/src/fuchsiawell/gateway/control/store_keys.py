"""Keys of the platform's store that belong to this product, and what they hold."""

from __future__ import annotations

import msgpack

from fuchsiawell.gateway.session.state import Peer

__all__ = [
    "DAEMONS_PREFIX",
    "GRANTER_KEY",
    "OWN_PREFIX",
    "SHARDS_PREFIX",
    "decode_peer",
    "encode_peer",
]

OWN_PREFIX = "fuchsiawell/"
DAEMONS_PREFIX = OWN_PREFIX + "daemons/"
SHARDS_PREFIX = OWN_PREFIX + "shards/"
# The daemon that grants keys, under a short lease.
GRANTER_KEY = OWN_PREFIX + "granter"


def encode_peer(peer: Peer) -> bytes:
    """Return a daemon's entry."""
    row = [peer.name, peer.start, peer.host, peer.port, peer.zone, peer.strength]
    return bytes(msgpack.packb(row))


def decode_peer(value: bytes) -> Peer:
    """Return the daemon of an entry; raises ValueError."""
    try:
        return Peer(*msgpack.unpackb(value))
    except (msgpack.UnpackException, TypeError, ValueError) as error:
        raise ValueError(f"not a daemon's entry: {error}") from error
