"""This product's keys in the platform's store, and the form of daemon entries."""

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
# Its value is the name of the elected granter; written under the granter's lease.
GRANTER_KEY = OWN_PREFIX + "granter"


def encode_peer(peer: Peer) -> bytes:
    row = [peer.name, peer.start_id, peer.host, peer.port, peer.zone, peer.capacity_cores]
    return bytes(msgpack.packb(row))


def decode_peer(value: bytes) -> Peer:
    """Return the daemon that an entry describes; raises ValueError."""
    try:
        return Peer(*msgpack.unpackb(value))
    except (msgpack.UnpackException, TypeError, ValueError) as error:
        raise ValueError(f"malformed daemon entry: {error}") from error
