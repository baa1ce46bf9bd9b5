"""Learn the changes of the platform's store, from the store itself or from a hub."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.change_feed import ChangeFeed, FeedLostError
from fuchsiawell.gateway.control.change_source import ChangeSource
from fuchsiawell.gateway.control.item_applier import STORE_SOURCE, ItemApplier
from fuchsiawell.gateway.control.recollection import Recollection
from fuchsiawell.gateway.ports import HistoryLostError, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.gateway.control.change_relay import ChangeRelay
    from fuchsiawell.gateway.control.evacuations import Evacuations
    from fuchsiawell.gateway.control.hubs import HubSelector
    from fuchsiawell.gateway.ports import RecordDecoder, Store, StoreChanges
    from fuchsiawell.gateway.session.state import Peer, Session

__all__ = ["StoreWatcher"]

# Time from the end of one watch to the end of the next without changes, including the time between
# the two, in which the connection may have gone silent already. A store connection that stops
# responding is noticed this time and WATCH_MARGIN_S later, which must be below the 3 s after which
# a host counts as undisturbed again.
WATCH_INTERVAL_S = 1.6
# Age that confirmed knowledge may reach while other daemons depend on it, plus the time of a call.
# These may go on without a confirmation for 1.2 s where bounds are shortest, which leaves 0.7 s for
# the call and for two links, from the first hub to another and from there to a follower.
RELAY_WATCH_INTERVAL_S = 0.5
# The same while the store does not respond, so that its return is noticed soon.
OUTAGE_WATCH_INTERVAL_S = 0.1
# Delay after changes before the next watch: each change wakes every daemon, and several come
# together when servers are replaced. Well below the 2 s within which changes must be seen.
REWATCH_DELAY_S = 0.25
# The same while other daemons depend on this one's knowledge.
RELAY_REWATCH_DELAY_S = 0.1
# Delay after changes that other daemons had already reported: under load, moves change the shard
# map about every second, and each change would cost a call from every daemon.
KNOWN_REWATCH_DELAY_S = 0.9
# Bounds of the back-off after a failed call to the store, which varies by 30 %. Entries that are
# missing when the store is back are kept for ENTRY_RETURN_S; both must be below 3 s together.
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.1, 0.5


class StoreWatcher:
    """Apply store changes to the session; one watch covers all keys."""

    def __init__(self, session: Session, store: Store, records: RecordDecoder) -> None:
        self._session = session
        self._store = store
        self._items = ItemApplier(session, records)
        self._as_of: int | None = None
        # Era of the store in which `_as_of` is a revision, and the last such pair.
        self._era: int | None = None
        self._last_listed: tuple[int, int] | None = None
        # Monotonic time of the end of the last watch.
        self._watched_s = float("-inf")
        self._store_unavailable = False
        self._source: ChangeSource | None = None
        self._relay: ChangeRelay | None = None
        self._feed = ChangeFeed(session.settings.daemon, session.clock)
        self._recollection = Recollection(session, self._items)

    @property
    def evacuations(self) -> Evacuations:
        return self._items.evacuations

    @property
    def on_granter_update(self) -> Callable[[], None] | None:
        """Function to call when the granter's key has changed."""
        return self._items.on_granter_update

    @on_granter_update.setter
    def on_granter_update(self, callback: Callable[[], None] | None) -> None:
        self._items.on_granter_update = callback

    def use_hubs(self, hubs: HubSelector, relay: ChangeRelay) -> None:
        """Receive changes from the hub if there is one, and publish all changes to `relay`."""
        self._source, self._relay = ChangeSource(self._session, hubs, relay), relay
        self.answer_recalls(relay)

    def answer_recalls(self, relay: ChangeRelay) -> None:
        """Tell daemons that ask what the store may have forgotten."""
        relay.on_recall = self._recollection.answer

    async def run(self) -> None:
        """List the store once, then watch it until cancelled."""
        try:
            await self._run()
        finally:
            self._recollection.close()

    async def _run(self) -> None:
        session = self._session
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            started_s = session.now_s
            try:
                if self._as_of is not None and self._store.era != self._era:
                    raise HistoryLostError
                if self._as_of is None:
                    await self._list()
                source = self._source
                if source is None or (hub := source.choose()) is None:
                    self._feed.close()
                    await self._watch_store()
                else:
                    await self._follow(source, hub)
                retry_delay_s = MIN_RETRY_DELAY_S
            except HistoryLostError:
                session.log.event("store history lost", step="watch", as_of=self._as_of)
                if self._as_of is not None and self._era is not None:
                    self._last_listed = self._era, self._as_of
                self._as_of = None
                if self._relay is not None:
                    self._relay.on_store_lost()
            except StoreUnavailableError as error:
                self._on_store_error(error)
                # A call that took long to fail has already been a delay.
                next_s = started_s + retry_delay_s * session.random.uniform(0.7, 1.3)
                if self._source is not None:
                    follower_next_s = self._source.on_store_error(started_s, error.refused)
                    next_s = next_s if follower_next_s is None else follower_next_s
                await asyncio.sleep(max(0.0, next_s - session.now_s))
                retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 1.7)

    def expire_backends(self) -> None:
        """Remove servers whose entries did not return after the store was unavailable.

        The same for evacuations that an older copy of the store lacks.
        """
        self.evacuations.expire()
        if not self._store_unavailable:
            self._items.accept_held_entries()
        for backend_id in self._session.directory.expire(self._session.now_s):
            self._session.log.event("backend gone", server=backend_id, why="entry did not return")

    async def _list(self) -> None:
        started_s = self._session.now_s
        listing = await self._store.list("")
        self._session.era_knowledge.record_listing(self._store.era)
        self._on_store_contact(started_s)
        self._era, self._as_of = self._store.era, listing.as_of
        if self._last_listed is not None and self._last_listed[0] != self._era:
            self._log_new_era(*self._last_listed)
            await self._recollection.recall(listing.items)
            self._items.apply_copy(listing.items)
        elif self._last_listed is None and self._era is not None:
            # How long ago the store came back from a copy, if ever, is not known.
            await self._recollection.recall(listing.items)
            self._items.apply_possible_copy(listing.items)
        else:
            self._items.apply_listing(listing.items)
        if self._source is not None:
            self._source.on_listing()
        if self._relay is not None:
            self._relay.reset(listing.as_of, self._era)
            self._relay.confirm(started_s)
        self._session.log.event("store listed", items=len(listing.items), as_of=listing.as_of)

    async def _watch_store(self) -> None:
        assert self._as_of is not None
        session, started_s, wait = self._session, self._session.now_s, self._watch_wait()
        changes = await self._watch(self._as_of, wait)
        if changes is None:
            return
        self._on_store_contact(session.now_s)
        any_new = self._apply_changes(changes)
        if self._relay is not None:
            # The response may have been on its way for long: only a watch that waited for all of
            # its time shows that there was no change until then.
            waited_s = wait.total_seconds()
            waited = not changes.items and session.now_s >= started_s + waited_s
            self._relay.confirm(started_s + (waited_s if waited else 0.0))
        self._watched_s = session.now_s
        if changes.items:
            if self._relay is not None and self._relay.has_followers:
                await asyncio.sleep(RELAY_REWATCH_DELAY_S)
            else:
                await asyncio.sleep(REWATCH_DELAY_S if any_new else KNOWN_REWATCH_DELAY_S)

    async def _watch(self, after: int, wait: timedelta) -> StoreChanges | None:
        """Return the changes; None if a first follower joined, for which the wait is too long."""
        watch = asyncio.ensure_future(self._store.watch("", after, wait))
        if self._relay is None or self._relay.has_followers:
            return await watch
        joined = asyncio.ensure_future(self._relay.wait_for_follower())
        try:
            await asyncio.wait({watch, joined}, return_when=asyncio.FIRST_COMPLETED)
            return watch.result() if watch.done() else None
        finally:
            watch.cancel()
            joined.cancel()

    async def _follow(self, source: ChangeSource, hub: Peer) -> None:
        assert self._as_of is not None
        session = self._session
        max_age_s = session.settings.max_store_age.total_seconds()
        try:
            until_s = source.follow_until_s()
            update = await self._feed.next(hub, self._as_of, until_s, self._era)
        except FeedLostError as error:
            next_s = source.on_feed_lost(hub, error)
            await asyncio.sleep(max(0.0, next_s - session.now_s))
            return
        self._items.source, self._items.unconfirmed_s = hub.name, session.store_age_s
        self._apply_changes(update.changes)
        if (
            update.current_until_s is not None
            and session.now_s - update.current_until_s < max_age_s
        ):
            self._on_contact(hub.name, update.current_until_s)
            source.on_confirmation()
            if self._relay is not None:
                self._relay.confirm(update.current_until_s)

    def _log_new_era(self, last_era: int, last_as_of: int) -> None:
        """Log and count that the store came back from an older copy."""
        session = self._session
        session.metrics.count("store_eras")
        session.log.warning(
            "store came back from an older copy",
            last_era=last_era,
            era=self._era,
            last_as_of=last_as_of,
            as_of=self._as_of,
            voided=["revisions", "watch", "feed", "leases", "conditional writes"],
        )

    def _apply_changes(self, changes: StoreChanges) -> bool:
        """Apply and publish changes; return whether any was new to this daemon."""
        any_new = any([self._items.apply(item) for item in changes.items])
        self._as_of = max(self._as_of or 0, changes.as_of)
        if self._relay is not None:
            self._relay.publish(changes)
        return any_new

    def _watch_wait(self) -> timedelta:
        interval_s, since_s = WATCH_INTERVAL_S, self._watched_s
        if self._store_unavailable:
            interval_s = OUTAGE_WATCH_INTERVAL_S
        elif self._relay is not None and self._relay.has_followers:
            interval_s = RELAY_WATCH_INTERVAL_S
            since_s = self._relay.current_until_s
        return timedelta(seconds=max(0.0, interval_s - (self._session.now_s - since_s)))

    def _on_store_contact(self, current_until_s: float) -> None:
        self._on_contact(STORE_SOURCE, current_until_s)
        if self._source is not None:
            self._source.on_store_contact()

    def _on_contact(self, source: str, current_until_s: float) -> None:
        session = self._session
        self._items.source, self._items.unconfirmed_s = source, session.store_age_s
        session.current_until_s = max(session.current_until_s, current_until_s)
        if self._store_unavailable:
            self._store_unavailable = False
            self._session.directory.on_store_available(self._session.now_s)
            self._items.on_store_return()
            self._session.log.event("store regained")

    def _on_store_error(self, error: StoreUnavailableError) -> None:
        self._session.metrics.count("store_failures", error.step)
        self._session.directory.on_store_unavailable(self._session.now_s)
        if not self._store_unavailable:
            self._store_unavailable = True
            self._session.log.warning(
                "store lost", step=error.step, peer=error.peer, reason=error.reason
            )
            if self._relay is not None:
                self._relay.on_store_lost()
