"""Relay store changes from this daemon to its followers."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.change_frames import (
    Follow,
    FrameReader,
    Gap,
    KeepAlive,
    encode_frame,
)

if TYPE_CHECKING:
    from fuchsiawell.gateway.ports import StoreChanges
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.httpio import Channel

__all__ = ["ChangeRelay"]

# Batches of changes, one per watch, kept for followers that reconnect after a short interruption.
MAX_KEPT_BATCHES = 64
# Interval between keep-alive frames while there are no changes.
KEEP_ALIVE_S = 0.5
# Longest wait for a follower's request, and for a follower to receive a frame. It is disconnected
# then, and watches the store itself.
FOLLOWER_TIMEOUT_S = 2.0


class ChangeRelay:
    """Serve followers while this daemon receives store changes."""

    def __init__(self, session: Session) -> None:
        self._session = session
        self._batches: deque[StoreChanges] = deque()
        # All changes after this revision are kept; None while changes may be missed.
        self._complete_after: int | None = None
        self._as_of = 0
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def accept(self, channel: Channel) -> None:
        """Serve a follower on a new connection."""
        task = asyncio.get_running_loop().create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def reset(self, as_of: int) -> None:
        """Restart after a listing of the store at revision `as_of`."""
        self._batches.clear()
        self._complete_after = self._as_of = as_of
        self._notify()

    def publish(self, batch: StoreChanges) -> None:
        """Relay one batch of changes from the store or a hub."""
        if self._complete_after is None:
            self._complete_after = self._as_of
        if not batch.items:
            return
        self._batches.append(batch)
        self._as_of = max(self._as_of, batch.as_of)
        if len(self._batches) > MAX_KEPT_BATCHES:
            self._complete_after = self._batches.popleft().as_of
        self._notify()

    def on_store_lost(self) -> None:
        """End the service of all followers: changes may be missed from now on."""
        if self._complete_after is None:
            return
        self._batches.clear()
        self._complete_after = None
        self._notify()

    def close(self) -> None:
        """Disconnect all followers."""
        for task in self._tasks:
            task.cancel()

    async def _serve(self, channel: Channel) -> None:
        name, reason = "", "connection closed"
        try:
            async with asyncio.timeout(FOLLOWER_TIMEOUT_S):
                request = await FrameReader(channel).next()
            if not isinstance(request, Follow):
                return
            name = request.name
            await self._send_changes(channel, request.after)
            reason = "changes are missing"
        except (OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
        finally:
            self._session.log.event(
                "follower ended", daemon=name, peer=channel.peer, step="feed", why=reason
            )
            channel.close()

    async def _send_changes(self, channel: Channel, after: int) -> None:
        while not channel.at_eof:
            complete_after, changed = self._complete_after, self._changed
            if complete_after is None or after < complete_after:
                await self._send(channel, encode_frame(Gap()))
                return
            pending = [batch for batch in self._batches if batch.as_of > after]
            for batch in pending:
                await self._send(channel, encode_frame(batch))
                after = batch.as_of
            if pending:
                continue
            try:
                async with asyncio.timeout(KEEP_ALIVE_S):
                    await changed.wait()
            except TimeoutError:
                await self._send(channel, encode_frame(KeepAlive()))

    async def _send(self, channel: Channel, frame: bytes) -> None:
        async with asyncio.timeout(FOLLOWER_TIMEOUT_S):
            await channel.send(frame)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
