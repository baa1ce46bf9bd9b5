"""A link of a daemon to itself, without a socket."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from fuchsiawell.transport.link import Link, LinkHooks

if TYPE_CHECKING:
    from fuchsiawell.core import Clock, DaemonId, LamportClock

__all__ = ["open_loopback"]


class _LoopbackEnd(Link):
    """Hand each frame to the other end in a later turn of the loop."""

    other: _LoopbackEnd

    def _send(self, frame: list[Any]) -> None:
        if not self.closed:
            self._loop.call_soon(self.other.deliver, frame)

    def deliver(self, frame: list[Any]) -> None:
        """Take a frame from the other end."""
        if not self.closed:
            self.last_received_s = self._clock.monotonic()
            self._receive(frame)


def open_loopback(own_id: DaemonId, clock: Clock, lamport: LamportClock, hooks: LinkHooks) -> Link:
    """Return the end that opens requests; `hooks` serve them at the other end."""
    client = _LoopbackEnd(own_id, clock, lamport, LinkHooks())
    server = _LoopbackEnd(own_id, clock, lamport, hooks)
    client.other = server
    server.other = client
    client.peer = server.peer = own_id
    return client
