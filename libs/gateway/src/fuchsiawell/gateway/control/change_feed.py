"""Follow the store through a hub of this daemon's group."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.change_frames import Alive, Follow, FrameReader, encode_frame
from fuchsiawell.gateway.ports import StoreEvents
from fuchsiawell.httpio import open_channel

if TYPE_CHECKING:
    from fuchsiawell.gateway.session.state import Peer
    from fuchsiawell.httpio import Channel

__all__ = ["FeedLostError", "ChangeFeed"]

CONNECT_S = 0.6
# Silence after which the hub is given up, in seconds: two signs of life and some delay. News must
# be known within about 3 s of the loss of a link.
SILENT_S = 1.3


class FeedLostError(Exception):
    """The hub passes nothing on; carries step and peer."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} from {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class ChangeFeed:
    """One connection to a hub."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._hub: Peer | None = None
        self._channel: Channel | None = None
        self._reader: FrameReader | None = None

    async def next(self, hub: Peer, after: int) -> StoreEvents:
        """Return changes after a revision, maybe none yet; raises FeedLostError."""
        try:
            if self._reader is None or hub != self._hub:
                await self._follow(hub, after)
            assert self._reader is not None
            async with asyncio.timeout(SILENT_S):
                frame = await self._reader.next()
        except (OSError, ValueError) as error:
            self.close()
            reason = str(error) or "silent"
            raise FeedLostError("follow news", f"{hub.host}:{hub.port}", reason) from error
        match frame:
            case StoreEvents(items, as_of):
                return StoreEvents([item for item in items if item.revision > after], as_of)
            case Alive():
                return StoreEvents([], after)
            case _:
                self.close()
                reason = "ended" if frame is None else "not complete"
                raise FeedLostError("follow news", f"{hub.host}:{hub.port}", reason)

    def close(self) -> None:
        """Leave the hub."""
        if self._channel is not None:
            self._channel.close()
        self._channel = self._reader = self._hub = None

    async def _follow(self, hub: Peer, after: int) -> None:
        self.close()
        self._channel = await open_channel(hub.host, hub.port, CONNECT_S)
        self._hub, self._reader = hub, FrameReader(self._channel)
        self._channel.write(encode_frame(Follow(self._name, after)))
