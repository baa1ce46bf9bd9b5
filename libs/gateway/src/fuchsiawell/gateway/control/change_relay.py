"""Relay store changes from this daemon to its followers."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.change_frames import (
    Confirmation,
    Follow,
    FollowInEra,
    FrameReader,
    Gap,
    KeepAlive,
    Poll,
    Recall,
    Recalled,
    encode_frame,
)
from fuchsiawell.gateway.ports import StoreChanges

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from collections.abc import Set as AbstractSet

    from fuchsiawell.gateway.control.change_frames import Frame
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.httpio import Channel

__all__ = ["ChangeRelay"]

# Batches of changes, one per watch, kept for followers that reconnect after a short interruption.
MAX_KEPT_BATCHES = 64
# Interval between keep-alive frames to a follower that does not poll.
KEEP_ALIVE_S = 0.5
# Longest wait for a follower's request, and for a follower to receive a frame. It is disconnected
# then, and watches the store itself.
FOLLOWER_TIMEOUT_S = 2.0


@dataclass
class _Follower:
    name: str
    channel: Channel
    # Era of the store in which it follows; what it has is of no use in another.
    era: int | None
    # Set when there is something to send.
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    # The latest poll: when it was sent in the follower's time, and when it arrived in this
    # daemon's time.
    polled_s: float | None = None
    poll_arrived_s: float = 0.0
    # What was confirmed last, in this daemon's time.
    confirmed_until_s: float = float("-inf")


class ChangeRelay:
    """Serve followers while this daemon receives store changes."""

    def __init__(self, session: Session) -> None:
        self._session = session
        self._batches: deque[StoreChanges] = deque()
        # All changes after this revision are kept; None while changes may be missed.
        self._complete_after: int | None = None
        self._as_of = 0
        self._era: int | None = None
        # Monotonic time until which all changes are known.
        self.current_until_s = float("-inf")
        self._followers: list[_Follower] = []
        self._follower_joined = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self.on_recall: Callable[[Recall], Recalled] | None = None

    @property
    def has_followers(self) -> bool:
        """Return whether other daemons depend on this one's knowledge."""
        return bool(self._followers)

    @property
    def follower_names(self) -> AbstractSet[str]:
        """Names of the daemons that follow this one."""
        return {follower.name for follower in self._followers}

    async def wait_for_follower(self) -> None:
        """Wait until another daemon depends on this one's knowledge."""
        self._follower_joined.clear()
        if not self._followers:
            await self._follower_joined.wait()

    def accept(self, channel: Channel) -> None:
        """Serve a follower on a new connection."""
        task = asyncio.get_running_loop().create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def reset(self, as_of: int, era: int | None = None) -> None:
        """Restart after a listing of the store at revision `as_of` of an era."""
        self._batches.clear()
        self._era = era
        self._complete_after = self._as_of = as_of
        self._notify()

    def publish(self, batch: StoreChanges) -> None:
        """Relay one batch of changes from the store or a hub."""
        if self._complete_after is None:
            self._complete_after = self._as_of
        if not batch.items:
            return
        self._batches = deque(_without_replaced(kept, batch) for kept in self._batches)
        self._batches.append(batch)
        self._as_of = max(self._as_of, batch.as_of)
        if len(self._batches) > MAX_KEPT_BATCHES:
            self._complete_after = self._batches.popleft().as_of
        self._notify()

    def confirm(self, current_until_s: float) -> None:
        """Pass on that all changes until a monotonic time have been published."""
        if current_until_s > self.current_until_s:
            self.current_until_s = current_until_s
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
                reader = FrameReader(channel)
                request = await reader.next()
            match request:
                case Follow(name, after):
                    # A daemon of an earlier release, which knows no eras.
                    follower = _Follower(name, channel, self._era)
                case FollowInEra(name, after, era):
                    follower = _Follower(name, channel, era)
                case Recall(name) if self.on_recall is not None:
                    reason = ""
                    async with asyncio.timeout(FOLLOWER_TIMEOUT_S):
                        await channel.send(encode_frame(self.on_recall(request)))
                    return
                case _:
                    return
            reason = await self._serve_follower(follower, reader, after)
        except (OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
        finally:
            if reason:
                self._session.log.event(
                    "follower ended", daemon=name, peer=channel.peer, step="feed", why=reason
                )
            channel.close()

    async def _serve_follower(self, follower: _Follower, reader: FrameReader, after: int) -> str:
        """Send changes until the follower leaves or changes are missing; return the reason.

        The reason is empty if changes were missing from the start.
        """
        if not self._is_complete(follower, after):
            # It does not count as a follower: a watch of the store would be begun anew for it. In
            # an outage followers ask several times a second, which is too much for the log.
            self._session.metrics.count("followers_refused")
            await self._send(follower, Gap())
            return ""
        self._followers.append(follower)
        self._follower_joined.set()
        reading = asyncio.get_running_loop().create_task(self._read_polls(reader, follower))
        try:
            return await self._send_changes(follower, after)
        finally:
            self._followers.remove(follower)
            reading.cancel()

    async def _send_changes(self, follower: _Follower, after: int) -> str:
        while not follower.channel.at_eof:
            follower.wake.clear()
            if not self._is_complete(follower, after):
                await self._send(follower, Gap())
                return "changes are missing"
            pending = [batch for batch in self._batches if batch.as_of > after]
            if pending:
                changes = _newest_by_key(pending)
                await self._send(follower, changes)
                after = changes.as_of
                continue
            until_s = self.current_until_s
            if follower.polled_s is not None and until_s > follower.confirmed_until_s:
                follower.confirmed_until_s = until_s
                # Negative for what was confirmed after the poll had arrived.
                age_s = follower.poll_arrived_s - until_s
                await self._send(follower, Confirmation(follower.polled_s, age_s))
                continue
            try:
                async with asyncio.timeout(KEEP_ALIVE_S):
                    await follower.wake.wait()
            except TimeoutError:
                if follower.polled_s is None:
                    await self._send(follower, KeepAlive())
        return "connection closed"

    def _is_complete(self, follower: _Follower, after: int) -> bool:
        return (
            follower.era == self._era
            and self._complete_after is not None
            and after >= self._complete_after
        )

    async def _read_polls(self, reader: FrameReader, follower: _Follower) -> None:
        """Read polls until the follower leaves or sends anything else."""
        try:
            while isinstance(frame := await reader.next(), Poll):
                follower.polled_s, follower.poll_arrived_s = frame.sent_s, self._session.now_s
                follower.wake.set()
        except (OSError, ValueError):
            follower.channel.close()
        follower.wake.set()

    async def _send(self, follower: _Follower, frame: Frame) -> None:
        async with asyncio.timeout(FOLLOWER_TIMEOUT_S):
            await follower.channel.send(encode_frame(frame))

    def _notify(self) -> None:
        for follower in self._followers:
            follower.wake.set()


def _newest_by_key(batches: Sequence[StoreChanges]) -> StoreChanges:
    """Return the last change of each key, in the order of the store.

    Versions that a newer one has replaced would only take the time in which that one must arrive.
    """
    changes = sorted(
        (item for batch in batches for item in batch.items), key=lambda item: item.revision
    )
    newest = {item.key: item for item in changes}
    items = tuple(sorted(newest.values(), key=lambda item: item.revision))
    return StoreChanges(items, batches[-1].as_of)


def _without_replaced(kept: StoreChanges, newer: StoreChanges) -> StoreChanges:
    """Drop the changes that no follower gets any more, as it gets newer ones of their keys."""
    revisions = {item.key: item.revision for item in newer.items}
    items = [item for item in kept.items if item.revision > revisions.get(item.key, -1)]
    return kept if len(items) == len(kept.items) else StoreChanges(items, kept.as_of)
