"""Multiplexed msgpack streams between daemons."""

from __future__ import annotations

from fuchsiawell.transport.exchange import BodyCutError, ClientExchange, ServerExchange
from fuchsiawell.transport.frames import (
    CHUNK_BYTES,
    WINDOW_BYTES,
    AnswerHead,
    Headers,
    RequestHead,
)
from fuchsiawell.transport.link import Link, LinkHooks
from fuchsiawell.transport.listener import PeerListener
from fuchsiawell.transport.loopback import open_loopback
from fuchsiawell.transport.peers import Peers, Unreachable

__all__ = [
    "CHUNK_BYTES",
    "WINDOW_BYTES",
    "AnswerHead",
    "BodyCutError",
    "ClientExchange",
    "Headers",
    "Link",
    "LinkHooks",
    "PeerListener",
    "Peers",
    "RequestHead",
    "ServerExchange",
    "Unreachable",
    "open_loopback",
]
