"""Pass the changes that this daemon sees in the store on to its followers."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.change_frames import Alive, Follow, FrameReader, Gap, encode_frame

if TYPE_CHECKING:
    from fuchsiawell.gateway.ports import StoreEvents
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.httpio import Channel

__all__ = ["ChangeRelay"]

# Changes kept for followers that were away for a moment, in number of watches answered.
KEPT = 64
# Between two signs of life without changes, in seconds.
ALIVE_S = 0.5
# Time for a follower to say what it wants, and to take what it is sent, in seconds; then it is cut
# off, and watches the store itself.
FOLLOWER_S = 2.0


class ChangeRelay:
    """Serve followers while this daemon is in touch with the store."""

    def __init__(self, session: Session) -> None:
        self._session = session
        self._kept: deque[StoreEvents] = deque()
        # The revision after which all changes are kept, None while out of touch.
        self._complete_after: int | None = None
        self._as_of = 0
        self._news = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def accept(self, channel: Channel) -> None:
        """Serve a follower's connection."""
        task = asyncio.get_running_loop().create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def begin(self, as_of: int) -> None:
        """Start from a listing."""
        self._kept.clear()
        self._complete_after = self._as_of = as_of
        self._wake()

    def publish(self, events: StoreEvents) -> None:
        """Take what one answer of the store, or of a hub, told."""
        if self._complete_after is None:
            self._complete_after = self._as_of
        if not events.items:
            return
        self._kept.append(events)
        self._as_of = max(self._as_of, events.as_of)
        if len(self._kept) > KEPT:
            self._complete_after = self._kept.popleft().as_of
        self._wake()

    def on_store_lost(self) -> None:
        """Leave the followers to themselves: news may be missed from now on."""
        if self._complete_after is None:
            return
        self._kept.clear()
        self._complete_after = None
        self._wake()

    def close(self) -> None:
        """Cut all followers off."""
        for task in self._tasks:
            task.cancel()

    async def _serve(self, channel: Channel) -> None:
        name, reason = "", "left"
        try:
            async with asyncio.timeout(FOLLOWER_S):
                request = await FrameReader(channel).next()
            if not isinstance(request, Follow):
                return
            name = request.name
            await self._feed(channel, request.after)
            reason = "no complete news"
        except (OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
        finally:
            self._session.log.event(
                "follower ended", daemon=name, peer=channel.peer, step="feed", why=reason
            )
            channel.close()

    async def _feed(self, channel: Channel, after: int) -> None:
        while not channel.at_eof:
            known_after, news = self._complete_after, self._news
            if known_after is None or after < known_after:
                await self._send(channel, encode_frame(Gap()))
                return
            due = [events for events in self._kept if events.as_of > after]
            for events in due:
                await self._send(channel, encode_frame(events))
                after = events.as_of
            if due:
                continue
            try:
                async with asyncio.timeout(ALIVE_S):
                    await news.wait()
            except TimeoutError:
                await self._send(channel, encode_frame(Alive()))

    async def _send(self, channel: Channel, frame: bytes) -> None:
        async with asyncio.timeout(FOLLOWER_S):
            await channel.send(frame)

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()
