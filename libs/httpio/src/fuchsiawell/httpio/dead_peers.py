"""Notice peers that no longer respond, by what the kernel knows of a connection."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
from dataclasses import dataclass, replace

__all__ = [
    "CLIENT_TIMEOUTS",
    "HOST_TIMEOUTS",
    "UNOBSERVED_HOST_TIMEOUTS",
    "WORKING_HOST_TIMEOUTS",
    "DeadPeerTimeouts",
    "is_reset",
    "is_unresponsive",
    "set_dead_peer_timeouts",
]


@dataclass(frozen=True)
class DeadPeerTimeouts:
    """Times after which the kernel resets a connection whose peer does not respond.

    `user_timeout_ms` (TCP_USER_TIMEOUT) limits the time with unacknowledged data, with a full
    receive window of the peer, or with unanswered keep-alive probes, whatever their number; 0 sets
    no limit. The first probe is sent `keep_alive_idle_s` after the last data, the others
    `keep_alive_interval_s` apart.
    """

    user_timeout_ms: int
    keep_alive_idle_s: int
    keep_alive_interval_s: int
    keep_alive_probes: int


# Must be below the 3 s within which a host must detect a dead link, and leave time for a few
# retransmissions.
HOST_TIMEOUTS = DeadPeerTimeouts(
    user_timeout_ms=1500, keep_alive_idle_s=2, keep_alive_interval_s=1, keep_alive_probes=2
)
# While a peer that has acknowledged a request works on it: silent by right, so that the loss or
# delay of a few probes must not end the request. Data without acknowledgement has no limit here;
# see `Channel.peer_unresponsive`.
WORKING_HOST_TIMEOUTS = DeadPeerTimeouts(
    user_timeout_ms=0, keep_alive_idle_s=2, keep_alive_interval_s=1, keep_alive_probes=4
)
# The same on a kernel that does not tell whether the peer acknowledges.
UNOBSERVED_HOST_TIMEOUTS = replace(WORKING_HOST_TIMEOUTS, user_timeout_ms=6000)
# A client that leaves closes its connection. Silence may come from a slow reader or from a queue at
# a slow link, and a response is due all the same; the limit bounds the memory for dead clients.
CLIENT_TIMEOUTS = DeadPeerTimeouts(
    user_timeout_ms=30_000, keep_alive_idle_s=10, keep_alive_interval_s=5, keep_alive_probes=4
)


# The start of struct tcp_info: retransmission timeouts in a row, segments without acknowledgement,
# milliseconds since the last acknowledgement, and the threshold of the receive window, which Linux
# always sets.
TCP_INFO_FORMAT = struct.Struct("=2xB21xI28xI4xI")
# A peer that has acknowledged nothing for so long, while data was sent to it again, has gone.
UNRESPONSIVE_MS = 1500
MIN_RETRANSMISSIONS = 2


def is_unresponsive(sock: socket.socket) -> bool | None:
    """Return whether the peer acknowledges nothing of what is sent again and again to it.

    A peer that does not read is not unresponsive: its kernel acknowledges. None where the kernel
    does not tell.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_FORMAT.size)
        retransmissions, unacknowledged, silent_ms, window = TCP_INFO_FORMAT.unpack(info)
    except (OSError, struct.error):
        return None
    if window == 0:
        # An emulated kernel that leaves most fields at 0.
        return None
    return bool(
        unacknowledged > 0
        and retransmissions >= MIN_RETRANSMISSIONS
        and silent_ms >= UNRESPONSIVE_MS
    )


def set_dead_peer_timeouts(sock: socket.socket, timeouts: DeadPeerTimeouts) -> None:
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, timeouts.keep_alive_idle_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, timeouts.keep_alive_interval_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, timeouts.keep_alive_probes),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeouts.user_timeout_ms),
    ):
        # On a kernel without one of these options, the timeouts of the callers still apply.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)


def is_reset(sock: socket.socket) -> bool:
    """Return whether the kernel holds an error of a connection, and leave it there."""
    poll = select.poll()
    poll.register(sock, 0)
    return any(events & select.POLLERR for _, events in poll.poll(0))
