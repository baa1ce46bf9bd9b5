"""Ask other daemons for what a store that came back from an older copy has forgotten."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.change_frames import (
    FrameReader,
    Recall,
    Recalled,
    encode_frame,
)
from fuchsiawell.httpio import open_channel

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from fuchsiawell.gateway.control.item_applier import ItemApplier
    from fuchsiawell.gateway.ports import Item
    from fuchsiawell.gateway.session.state import Peer, Session

__all__ = ["Recollection"]

# Daemons that are asked: changes reach all of them within a few seconds, so that some drawn at
# random have what the store has forgotten.
MAX_ASKED = 12
# A daemon that starts serves no request before this time if nobody responds.
ASK_TIMEOUT_S = 0.3
# They are asked once more after this time.
ASK_AGAIN_S = 1.0
# A configuration may be large and a link slow, so that several daemons are asked for it.
FETCH_TIMEOUT_S, MAX_FETCHED = 2.0, 3
# Servers, and zones, that are named in an answer, and the longest time for which they are known.
MAX_AGES, MAX_AGE_S = 1000, 86_400.0
# Asks for no record: nobody has a newer configuration.
NEWEST_VERSION = 2**63 - 1


class Recollection:
    """Tell other daemons what this one knows, and ask them in a new era and at the start."""

    def __init__(self, session: Session, items: ItemApplier) -> None:
        self._session = session
        self._items = items
        self._later: asyncio.Task[None] | None = None

    def answer(self, request: Recall) -> Recalled:
        """Return what another daemon asks for."""
        session, now_s = self._session, self._session.now_s
        configurations = self._items.configurations
        version = configurations.version
        return Recalled(
            version,
            configurations.record if version > request.version else None,
            _ages_ms(session.leaving_servers.since_s_by_incarnation(), now_s),
            _ages_ms(session.directory.removed, now_s),
            _ages_ms(session.evacuated_zones, now_s),
        )

    async def recall(self, items: Sequence[Item]) -> None:
        """Learn from others what is missing among the items of the store, before these are applied.

        A newer configuration may take longer, as it may be large. Others are asked once more later:
        they may have been slow, or may just have started themselves.
        """
        listed = {peer.name: peer for peer in self._items.peers_among(items)}
        answers = await self._ask({**listed, **self._session.peers_by_name}.values())
        for peer, answer in answers.items():
            self._items.recall_leaving(answer, peer.name)
        # Those that have just started know nothing yet.
        informed = [answer for answer in answers.values() if answer.version]
        self._items.recall_removed(_known_to_most([a.removed_ms for a in informed]))
        self._items.recall_evacuated(_known_to_most([a.evacuated_ms for a in informed]))
        self._expect_newest(answers)
        self.close()
        self._later = asyncio.get_running_loop().create_task(self._recall_later(answers))

    def close(self) -> None:
        """Stop asking."""
        if self._later is not None:
            self._later.cancel()

    async def _recall_later(self, answers: Mapping[Peer, Recalled]) -> None:
        """Fetch the newest configuration, and ask once more.

        Removals are not learned then, as the servers may have written their entries again.
        """
        await self._fetch_configuration(answers)
        await asyncio.sleep(ASK_AGAIN_S)
        answers = await self._ask(self._session.peers_by_name.values())
        for peer, answer in answers.items():
            self._items.recall_leaving(answer, peer.name)
        self._expect_newest(answers)
        await self._fetch_configuration(answers)

    def _expect_newest(self, answers: Mapping[Peer, Recalled]) -> None:
        versions = [answer.version for answer in answers.values()]
        self._items.configurations.expect_version(max(versions, default=0))

    async def _ask(self, peers: Collection[Peer]) -> dict[Peer, Recalled]:
        """Return what some of the daemons know, without records of configurations."""
        session = self._session
        asked = sorted(peers, key=lambda peer: peer.name)
        if len(asked) > MAX_ASKED:
            asked = session.random.sample(asked, MAX_ASKED)
        calls = [self._call(peer, NEWEST_VERSION, ASK_TIMEOUT_S) for peer in asked]
        answers = zip(asked, await asyncio.gather(*calls), strict=True)
        known = {peer: answer for peer, answer in answers if answer is not None}
        session.log.event(
            "daemons asked for what the store may have forgotten",
            asked=len(asked),
            answered=len(known),
            versions=sorted({answer.version for answer in known.values()}),
        )
        return known

    async def _fetch_configuration(self, answers: Mapping[Peer, Recalled]) -> None:
        """Apply the newest configuration of those who have answered, else that of the store."""
        configurations = self._items.configurations
        newer = [peer for peer in answers if answers[peer].version > configurations.version]
        newest_first = sorted(newer, key=lambda peer: (-answers[peer].version, peer.name))
        pending = {
            asyncio.ensure_future(self._call(peer, configurations.version, FETCH_TIMEOUT_S)): peer
            for peer in newest_first[:MAX_FETCHED]
        }
        try:
            while pending and configurations.version < answers[newest_first[0]].version:
                done, _ = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for call in done:
                    self._take_record(pending.pop(call), call.result())
        finally:
            for call in pending:
                call.cancel()
        configurations.stop_expecting()

    def _take_record(self, peer: Peer, answer: Recalled | None) -> None:
        configurations = self._items.configurations
        # The store may have had a newer one meanwhile.
        if (
            answer is None
            or answer.configuration is None
            or answer.version <= configurations.version
        ):
            return
        configurations.recall(answer.configuration, peer.name)

    async def _call(self, peer: Peer, version: int, timeout_s: float) -> Recalled | None:
        """Ask a daemon; return None if it does not respond in time or cannot tell."""
        session, channel = self._session, None
        try:
            async with asyncio.timeout(timeout_s):
                channel = await open_channel(peer.host, peer.port, timeout_s)
                channel.write(encode_frame(Recall(session.settings.daemon, version)))
                frame = await FrameReader(channel).next()
            if isinstance(frame, Recalled):
                return frame
            reason = "connection closed" if frame is None else "another frame"
        except (OSError, ValueError) as error:
            reason = str(error) or "timed out"
        finally:
            if channel is not None:
                channel.close()
        session.request_log.write(
            "no answer of a daemon", step="recall", daemon=peer.name, peer=peer.host, reason=reason
        )
        return None


def _known_to_most(ages_ms: Sequence[Mapping[str, int]]) -> dict[str, int]:
    """Return the shortest age of what more than half of the daemons know.

    A single one may have missed that it has changed since.
    """
    known = Counter(name for ages in ages_ms for name in ages)
    return {
        name: min(ages[name] for ages in ages_ms if name in ages)
        for name, count in known.items()
        if 2 * count > len(ages_ms)
    }


def _ages_ms(since_s: Mapping[str, float], now_s: float) -> dict[str, int]:
    """Return how long each has lasted, of those that began last."""
    latest = sorted(since_s, key=since_s.__getitem__, reverse=True)[:MAX_AGES]
    return {name: round(min(now_s - since_s[name], MAX_AGE_S) * 1000) for name in latest}
