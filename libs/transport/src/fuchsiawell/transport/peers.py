"""Links to the other daemons, replaced when they go silent."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from fuchsiawell.transport.link import Link, LinkHooks

if TYPE_CHECKING:
    from fuchsiawell.core import Clock, DaemonId, LamportClock

__all__ = ["PING_INTERVAL_S", "SILENT_LINK_S", "Peers", "Unreachable"]

PING_INTERVAL_S = 0.2
SILENT_LINK_S = 0.5  # without a sign of life a second connection is opened beside the first
CONNECT_TIMEOUT_S = 0.5
RETRY_CONNECT_S = 0.2  # a peer that refused is not asked again sooner


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Report that no connection to the peer could be opened, so nothing was sent."""

    peer: DaemonId
    detail: str


@dataclass(slots=True)
class _Peer:
    id: DaemonId
    address: str
    link: Link | None = None
    silent_links: list[Link] = field(default_factory=list)
    connecting: asyncio.Task[Result[Link, Unreachable]] | None = None
    refused_at_s: float | None = None


class Peers:
    """Own one live link to each peer; open, probe and replace them.

    A link that is silent for `SILENT_LINK_S` gets no new streams: a second one is opened. When
    the peer answers on the second, the first is known dead and its streams are cut. While the
    peer answers on neither, it may only be paused, and open streams wait for their deadlines.
    """

    def __init__(
        self, own_id: DaemonId, clock: Clock, lamport: LamportClock, hooks: LinkHooks
    ) -> None:
        self._own_id = own_id
        self._clock = clock
        self._lamport = lamport
        self._hooks = hooks
        self._peers_by_id: dict[DaemonId, _Peer] = {}
        self._pinger: asyncio.Task[None] | None = None
        self._pings = 0

    def start(self) -> None:
        """Begin to probe links."""
        self._pinger = asyncio.create_task(self._probe_forever(), name="probe peers")

    async def close(self) -> None:
        """Drop all links."""
        if self._pinger is not None:
            self._pinger.cancel()
        for peer in self._peers_by_id.values():
            if peer.connecting is not None:
                peer.connecting.cancel()
            for link in [*peer.silent_links, *([peer.link] if peer.link else [])]:
                link.close("stopping")

    def set_addresses(self, addresses_by_id: dict[DaemonId, str]) -> None:
        """Take the addresses of all peers; links to others and to old addresses are dropped."""
        for id in set(self._peers_by_id) - set(addresses_by_id):
            self._drop(self._peers_by_id.pop(id), "no longer a peer")
        for id, address in addresses_by_id.items():
            known = self._peers_by_id.get(id)
            if known is not None and known.address != address:
                self._drop(known, "peer has a new address")
                known = None
            if known is None:
                self._peers_by_id[id] = _Peer(id, address)

    def addresses(self) -> dict[DaemonId, str]:
        """Return the address of each peer."""
        return {id: peer.address for id, peer in self._peers_by_id.items()}

    def ready_link(self, id: DaemonId) -> Link | None:
        """Return the link to the peer if one is open and not silent."""
        peer = self._peers_by_id.get(id)
        if peer is None or peer.link is None or peer.link.closed:
            return None
        return peer.link

    async def link(self, id: DaemonId) -> Result[Link, Unreachable]:
        """Return a link to the peer, opening one if needed."""
        ready = self.ready_link(id)
        if ready is not None:
            return Ok(ready)
        peer = self._peers_by_id.get(id)
        if peer is None:
            return Err(Unreachable(id, "address not known"))
        if peer.connecting is None and self._refused_lately(peer):
            return Err(Unreachable(id, "refused a moment ago"))
        return await asyncio.shield(self._connecting(peer))

    def send_control(self, id: DaemonId, kind: str, body: Any) -> bool:
        """Send a control message if a link is open; else start to open one and return false."""
        link = self.ready_link(id)
        if link is not None:
            link.send_control(kind, body)
            return True
        peer = self._peers_by_id.get(id)
        if peer is not None and not self._refused_lately(peer):
            self._connecting(peer)
        return False

    def _refused_lately(self, peer: _Peer) -> bool:
        if peer.refused_at_s is None:
            return False
        return self._clock.monotonic() - peer.refused_at_s < RETRY_CONNECT_S

    def _connecting(self, peer: _Peer) -> asyncio.Task[Result[Link, Unreachable]]:
        if peer.connecting is None:
            peer.connecting = asyncio.create_task(self._connect(peer), name=f"connect to {peer.id}")
        return peer.connecting

    async def _connect(self, peer: _Peer) -> Result[Link, Unreachable]:
        host, _, port = peer.address.rpartition(":")
        loop = asyncio.get_running_loop()
        link = Link(self._own_id, self._clock, self._lamport, self._hooks)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: link, host, int(port))
                await link.ready
            if link.peer != peer.id:
                raise ConnectionError(f"{peer.address} is {link.peer}")
        except (OSError, TimeoutError) as error:
            link.close("could not connect")
            peer.refused_at_s = self._clock.monotonic()
            return Err(Unreachable(peer.id, str(error) or "timed out"))
        finally:
            peer.connecting = None
        self._replace(peer, link)
        return Ok(link)

    def _replace(self, peer: _Peer, link: Link) -> None:
        if peer.link is not None and peer.link is not link:
            peer.link.close("replaced")
        peer.link = link
        peer.refused_at_s = None
        # The peer just answered on the new connection, so the silent ones are dead.
        for silent in peer.silent_links:
            silent.close("silent while a new connection works")
        peer.silent_links.clear()

    def _drop(self, peer: _Peer, detail: str) -> None:
        for link in [*peer.silent_links, *([peer.link] if peer.link else [])]:
            link.close(detail)
        peer.silent_links.clear()
        peer.link = None

    async def _probe_forever(self) -> None:
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            for peer in list(self._peers_by_id.values()):
                self._probe(peer)

    def _probe(self, peer: _Peer) -> None:
        peer.silent_links = [link for link in peer.silent_links if not link.closed]
        link = peer.link
        if link is not None and link.closed:
            peer.link = link = None
        if link is None:
            if not self._refused_lately(peer):
                self._connecting(peer)
            return
        silent_s = self._clock.monotonic() - link.last_received_s
        if silent_s > SILENT_LINK_S:
            peer.silent_links.append(link)
            peer.link = None
            self._connecting(peer)
            return
        self._pings += 1
        link.ping(self._pings)
