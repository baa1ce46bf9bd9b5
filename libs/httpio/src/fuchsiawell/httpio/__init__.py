"""HTTP/1.1 server and client connections over TCP with bounded buffers."""

from __future__ import annotations

from fuchsiawell.httpio.buffer_meter import MAX_BUFFERED_BYTES, BufferMeter
from fuchsiawell.httpio.channel import Channel, LingerLimits, open_channel
from fuchsiawell.httpio.client import ClientConnection, Exchange, InvalidResponseError, connect
from fuchsiawell.httpio.dead_peers import CLIENT_TIMEOUTS
from fuchsiawell.httpio.messages import (
    Fields,
    RequestHead,
    ResponseHead,
    end_to_end_fields,
    first_value,
)
from fuchsiawell.httpio.server import BadRequestError, HeadLimits, ServerConnection

__all__ = [
    "CLIENT_TIMEOUTS",
    "MAX_BUFFERED_BYTES",
    "BadRequestError",
    "BufferMeter",
    "Channel",
    "ClientConnection",
    "Exchange",
    "Fields",
    "HeadLimits",
    "InvalidResponseError",
    "LingerLimits",
    "RequestHead",
    "ResponseHead",
    "ServerConnection",
    "connect",
    "end_to_end_fields",
    "first_value",
    "open_channel",
]
