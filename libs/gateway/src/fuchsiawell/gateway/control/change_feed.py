"""Receive store changes from a hub of this daemon's group."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.change_frames import Follow, FrameReader, KeepAlive, encode_frame
from fuchsiawell.gateway.ports import StoreChanges
from fuchsiawell.httpio import open_channel

if TYPE_CHECKING:
    from fuchsiawell.gateway.session.state import Peer
    from fuchsiawell.httpio import Channel

__all__ = ["ChangeFeed", "FeedLostError"]

CONNECT_TIMEOUT_S = 0.6
# Two of the hub's keep-alive intervals and some delay. Changes must be seen within about 3 s of the
# loss of a link.
RECEIVE_TIMEOUT_S = 1.3


class FeedLostError(Exception):
    """The hub does not relay changes any more."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} from {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class ChangeFeed:
    """A connection to the current hub."""

    def __init__(self, name: str) -> None:
        self._own_name = name
        self._hub: Peer | None = None
        self._channel: Channel | None = None
        self._reader: FrameReader | None = None

    async def next(self, hub: Peer, after: int) -> StoreChanges:
        """Return changes after revision `after`, none on a keep-alive; raises FeedLostError."""
        try:
            if self._reader is None or hub != self._hub:
                await self._connect(hub, after)
            assert self._reader is not None
            async with asyncio.timeout(RECEIVE_TIMEOUT_S):
                frame = await self._reader.next()
        except (OSError, ValueError) as error:
            self.close()
            reason = str(error) or "timed out"
            raise FeedLostError("follow changes", f"{hub.host}:{hub.port}", reason) from error
        match frame:
            case StoreChanges(items, as_of):
                return StoreChanges([item for item in items if item.revision > after], as_of)
            case KeepAlive():
                return StoreChanges([], after)
            case _:
                self.close()
                reason = "connection closed" if frame is None else "changes are missing"
                raise FeedLostError("follow changes", f"{hub.host}:{hub.port}", reason)

    def close(self) -> None:
        """Disconnect from the hub."""
        if self._channel is not None:
            self._channel.close()
        self._channel = self._reader = self._hub = None

    async def _connect(self, hub: Peer, after: int) -> None:
        self.close()
        self._channel = await open_channel(hub.host, hub.port, CONNECT_TIMEOUT_S)
        self._hub, self._reader = hub, FrameReader(self._channel)
        self._channel.write(encode_frame(Follow(self._own_name, after)))
