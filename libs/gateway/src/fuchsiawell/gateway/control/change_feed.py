"""Receive store changes from a hub of this daemon's group."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.change_frames import (
    Confirmation,
    Follow,
    FollowInEra,
    FrameReader,
    KeepAlive,
    Poll,
    encode_frame,
)
from fuchsiawell.gateway.ports import StoreChanges
from fuchsiawell.httpio import open_channel

if TYPE_CHECKING:
    from fuchsiawell.core import Clock
    from fuchsiawell.gateway.control.change_frames import Frame
    from fuchsiawell.gateway.session.state import Peer
    from fuchsiawell.httpio import Channel

__all__ = ["ChangeFeed", "FeedLostError", "FeedUpdate"]

CONNECT_TIMEOUT_S = 0.6
# Interval between requests for a confirmation.
POLL_INTERVAL_S = 0.25
TOO_OLD = "no confirmation in time"


class FeedLostError(Exception):
    """The hub does not relay changes any more, or not in time."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} from {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


@dataclass(frozen=True)
class FeedUpdate:
    """Changes from a hub, and the monotonic time until which all changes are known with them."""

    changes: StoreChanges
    # None when the hub did not confirm it.
    current_until_s: float | None = None


class ChangeFeed:
    """A connection to the current hub."""

    def __init__(self, name: str, clock: Clock) -> None:
        self._own_name = name
        self._clock = clock
        self._hub: Peer | None = None
        self._era: int | None = None
        self._channel: Channel | None = None
        self._reader: FrameReader | None = None
        self._next_poll_s = float("-inf")

    async def next(
        self, hub: Peer, after: int, until_s: float, era: int | None = None
    ) -> FeedUpdate:
        """Return changes after revision `after` or a confirmation, or neither after a short wait.

        `after` is a revision of the store's `era`. Raises FeedLostError, at the monotonic time
        `until_s` if the hub sends nothing until then.
        """
        try:
            if self._reader is None or hub != self._hub or era != self._era:
                await self._connect(hub, after, era, until_s)
            frame = await self._next_frame(until_s)
        except (OSError, ValueError) as error:
            self.close()
            reason = str(error) or "timed out"
            raise FeedLostError("follow changes", f"{hub.host}:{hub.port}", reason) from error
        match frame:
            case StoreChanges(items, as_of):
                newer = [item for item in items if item.revision > after]
                return FeedUpdate(StoreChanges(newer, as_of))
            case Confirmation(polled_s, age_s):
                # The clock of a suspended host stands still, while that of its hub goes on: what
                # is confirmed then must not count as known ahead of time.
                current_until_s = min(polled_s - age_s, self._clock.monotonic())
                return FeedUpdate(StoreChanges([], after), current_until_s)
            case KeepAlive():
                return FeedUpdate(StoreChanges([], after))
            case _:
                self.close()
                reason = "connection closed" if frame is None else "changes are missing"
                raise FeedLostError("follow changes", f"{hub.host}:{hub.port}", reason)

    def close(self) -> None:
        """Disconnect from the hub."""
        if self._channel is not None:
            self._channel.close()
        self._channel = self._reader = self._hub = None

    async def _connect(self, hub: Peer, after: int, era: int | None, until_s: float) -> None:
        self.close()
        timeout_s = min(CONNECT_TIMEOUT_S, until_s - self._clock.monotonic())
        if timeout_s <= 0:
            raise TimeoutError(TOO_OLD)
        self._channel = await open_channel(hub.host, hub.port, timeout_s)
        self._hub, self._era, self._reader = hub, era, FrameReader(self._channel)
        name = self._own_name
        follow = Follow(name, after) if era is None else FollowInEra(name, after, era)
        self._channel.write(encode_frame(follow))
        self._next_poll_s = float("-inf")

    async def _next_frame(self, until_s: float) -> Frame | None:
        """Return the next frame, KeepAlive when a poll is due; raises TimeoutError at `until_s`."""
        assert self._channel is not None
        assert self._reader is not None
        now_s = self._clock.monotonic()
        if now_s >= until_s:
            raise TimeoutError(TOO_OLD)
        if now_s >= self._next_poll_s:
            self._channel.write(encode_frame(Poll(now_s)))
            self._next_poll_s = now_s + POLL_INTERVAL_S
        try:
            async with asyncio.timeout(min(until_s, self._next_poll_s) - now_s):
                return await self._reader.next()
        except TimeoutError:
            if until_s <= self._next_poll_s:
                raise TimeoutError(TOO_OLD) from None
            # Timers may run a little early.
            self._next_poll_s = float("-inf")
            # The caller may use another hub by now.
            return KeepAlive()
