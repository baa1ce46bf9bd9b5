"""Apply items of the store to the session: configuration, servers, daemons and shard maps."""

from __future__ import annotations

from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.configuration_updates import ConfigurationUpdates
from fuchsiawell.gateway.control.evacuations import Evacuations
from fuchsiawell.gateway.control.store_keys import (
    DAEMONS_PREFIX,
    GRANTER_KEY,
    MAP_ERAS_PREFIX,
    SHARDS_PREFIX,
    decode_map_era,
    decode_peer,
    decode_stored_map,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from fuchsiawell.gateway.control.change_frames import Recalled
    from fuchsiawell.gateway.ports import Item, RecordDecoder
    from fuchsiawell.gateway.session.state import Peer, Session
    from fuchsiawell.routing import Backend

__all__ = ["STORE_SOURCE", "ItemApplier"]

# Source of changes that came from the store itself, in logs.
STORE_SOURCE = "store"
# An entry that is in the store for this time is renewed by its server: entries last three
# heartbeats (up to 4.5 s), and the news of a removal takes a second.
RENEWAL_PROOF_S = 6.0
# Ratio of a service's servers above which they do not count as removed, if that is not certain:
# planned maintenance takes out up to a fifth at a time.
MAX_REMOVED_RATIO = 0.25


class ItemApplier:
    """Apply each revision of an item once, whatever it came from."""

    def __init__(self, session: Session, records: RecordDecoder) -> None:
        self._session = session
        self._records = records
        # Revision of each key that was applied last.
        self._revision_by_key: dict[str, int] = {}
        self._lists_copy = False
        # Servers in that copy whose removal it may lack.
        self._removed_ids: set[str] = set()
        # Revisions of the removals of servers, by incarnation, as long as these are known.
        self._removal_revisions: dict[str, int] = {}
        # Entries of a copy whose servers had been removed, and until when they are not used.
        self._held_by_key: dict[str, tuple[Backend, float]] = {}
        # Where the changes being applied came from, the store or the name of a hub, and the time
        # until then since the last contact.
        self.source, self.unconfirmed_s = STORE_SOURCE, 0.0
        self.configurations = ConfigurationUpdates(session, records)
        self.evacuations = Evacuations(session, records.evacuations_prefix)
        self.on_granter_update: Callable[[], None] | None = None

    def peers_among(self, items: Sequence[Item]) -> list[Peer]:
        """Return the other daemons among items of the store."""
        own_key = DAEMONS_PREFIX + self._session.settings.daemon
        peers = []
        for item in items:
            if item.key.startswith(DAEMONS_PREFIX) and item.key != own_key and item.value:
                # What cannot be read is logged when it is applied.
                with suppress(ValueError):
                    peers.append(decode_peer(item.key, item.value))
        return peers

    def recall_leaving(self, answer: Recalled, source: str) -> None:
        """Apply what another daemon knows of servers that leave."""
        session = self._session
        now_s = session.now_s
        for incarnation_id, age_ms in answer.leaving_ms.items():
            backend_id = incarnation_id.rpartition("/")[0]
            session.record_leaving(backend_id, incarnation_id, source, now_s - age_ms / 1000)

    def recall_removed(self, removed_ms: Mapping[str, int]) -> None:
        """Apply what other daemons know of removed servers, before the items of the store."""
        session = self._session
        for incarnation_id, age_ms in removed_ms.items():
            if session.directory.record_removed(incarnation_id, session.now_s - age_ms / 1000):
                session.log.event("backend gone", server=incarnation_id, why="known to others")

    def recall_evacuated(self, evacuated_ms: Mapping[str, int]) -> None:
        """Apply what other daemons know of evacuated zones, before the items of the store."""
        for zone, age_ms in evacuated_ms.items():
            self.evacuations.recall(zone, self._session.now_s - age_ms / 1000)

    def on_store_return(self) -> None:
        """Wait anew for renewals of held entries: those of silent servers may not have lapsed."""
        until_s = self._session.now_s + RENEWAL_PROOF_S
        for key, (backend, _) in self._held_by_key.items():
            self._held_by_key[key] = backend, until_s
        self.evacuations.on_store_return()

    def accept_held_entries(self) -> None:
        """Use servers that had been removed, but whose entries have outlived their expiry."""
        now_s = self._session.now_s
        due = [key for key, (_, until_s) in self._held_by_key.items() if until_s <= now_s]
        for key in due:
            backend, _ = self._held_by_key.pop(key)
            self._session.log.event("entry of a removed server taken", server=backend.id)
            self._session.update_backend(backend)

    def apply_possible_copy(self, items: Sequence[Item]) -> None:
        """Apply a first listing, which may be of a copy that is older than what others know."""
        self._lists_copy, self._removed_ids = True, self._removed_among(items)
        try:
            self.apply_listing(items)
        finally:
            self._lists_copy, self._removed_ids = False, set()

    def apply_copy(self, items: Sequence[Item]) -> None:
        """Apply all items of a store that came back from an older copy.

        The operator and the servers write again what it lacks, so what is missing or older than
        known does not count at once.
        """
        session = self._session
        self._revision_by_key.clear()
        self.configurations.expect_version_in_force()
        session.directory.on_store_unavailable(session.now_s)
        session.directory.on_store_available(session.now_s)
        self.apply_possible_copy(items)

    def apply_listing(self, items: Sequence[Item]) -> None:
        """Apply all items of the store, and remove what is not among them."""
        session = self._session
        prefix = self._records.backends_prefix
        present = {item.key for item in items}
        for key in self._held_by_key.keys() - present:
            del self._held_by_key[key]
        for backend_id in [b for b in session.directory.by_id if prefix + b not in present]:
            session.remove_backend(backend_id)
        for name in [n for n in session.peers_by_name if DAEMONS_PREFIX + n not in present]:
            session.mark_peer_expired(name)
        if GRANTER_KEY not in present:
            self._set_granter(None)
        self._revision_by_key = {
            key: revision for key, revision in self._revision_by_key.items() if key in present
        }
        # The servers first, so that those of an evacuated zone are known.
        evacuations_prefix = self._records.evacuations_prefix
        for item in sorted(items, key=lambda i: i.key.startswith(evacuations_prefix)):
            self.apply(item)
        if self._lists_copy:
            self.evacuations.finish_copy(present)
        else:
            self.evacuations.finish_listing(present)

    def apply(self, item: Item) -> bool:
        """Apply an item; return whether it was new to this daemon."""
        key = item.key
        # Pages of a listing are read one after the other, and the watch that follows begins at the
        # first: it repeats older changes of keys on later pages.
        if item.revision <= self._revision_by_key.get(key, 0):
            return False
        if item.value is None:
            self._revision_by_key.pop(key, None)
        else:
            self._revision_by_key[key] = item.revision
        try:
            return self._apply_new(item)
        except Exception as error:
            # Without it, one entry would end the control loop, on each daemon.
            self._session.metrics.count("entries_not_applied", key.rpartition("/")[0])
            self._session.log.warning(
                "store entry not applied",
                step="apply",
                key=key,
                revision=item.revision,
                source=self.source,
                error=repr(error),
            )
            return False

    def _apply_new(self, item: Item) -> bool:
        key = item.key
        if key.startswith(SHARDS_PREFIX):
            return self._apply_map(item)
        if key == self._records.configuration_key:
            if item.value is not None:
                self.configurations.apply(item.value, self.source, self.unconfirmed_s)
        elif key.startswith(self._records.backends_prefix):
            self._apply_backend(item)
        elif key.startswith(self._records.evacuations_prefix):
            self.evacuations.apply(item, self.unconfirmed_s, from_copy=self._lists_copy)
        elif key.startswith(DAEMONS_PREFIX):
            self._apply_daemon(item)
        elif key.startswith(MAP_ERAS_PREFIX):
            self._apply_map_era(item)
        elif key == GRANTER_KEY:
            self._set_granter(None if item.value is None else item.value.decode())
        return True

    def _apply_backend(self, item: Item) -> None:
        backend_id = item.key.removeprefix(self._records.backends_prefix)
        self._held_by_key.pop(item.key, None)
        if item.value is None:
            self._record_removal(backend_id, item.revision)
            self._session.remove_backend(backend_id)
            return
        backend = self._records.decode_backend(item.key, item.value)
        if backend is None:
            self._session.log.warning("server entry unreadable, ignored", server=backend_id)
            return
        known = self._session.directory.by_id.get(backend_id)
        if self._lists_copy and known is not None and known.incarnation > backend.incarnation:
            # The server has started again since the copy was made.
            return
        if self._lists_copy and backend.id in self._removed_ids:
            self._hold(item.key, backend)
            return
        self._session.update_backend(backend, self.unconfirmed_s)

    def _record_removal(self, backend_id: str, revision: int) -> None:
        directory = self._session.directory
        backend = directory.by_id.get(backend_id)
        if backend is None:
            return
        known = {b.incarnation_id for b in directory.by_id.values()} | directory.removed.keys()
        self._removal_revisions = {i: r for i, r in self._removal_revisions.items() if i in known}
        self._removal_revisions[backend.incarnation_id] = revision

    def _removed_among(self, items: Sequence[Item]) -> set[str]:
        """Return the ids of servers in a copy whose removal it may lack.

        It lacks a removal whose revision is above that of the entry. Of removals that were not seen
        as changes the revisions are not known: if they are many of a service, their entries may
        have lapsed and the servers still run.
        """
        directory, prefix = self._session.directory, self._records.backends_prefix
        listed: Counter[str] = Counter()
        certain: set[str] = set()
        removed: dict[str, list[str]] = {}
        for item in items:
            if not item.key.startswith(prefix) or item.value is None:
                continue
            try:
                backend = self._records.decode_backend(item.key, item.value)
            except Exception:
                # It is logged when it is applied.
                continue
            if backend is None:
                continue
            listed[backend.service] += 1
            if backend.incarnation_id in directory.removed:
                removal_revision = self._removal_revisions.get(backend.incarnation_id)
                if removal_revision is None:
                    removed.setdefault(backend.service, []).append(backend.id)
                elif item.revision < removal_revision:
                    certain.add(backend.id)
            elif directory.is_left_out(backend.id):
                removed.setdefault(backend.service, []).append(backend.id)
        return certain | {
            backend_id
            for service, ids in removed.items()
            if len(ids) <= max(1, MAX_REMOVED_RATIO * listed[service])
            for backend_id in ids
        }

    def _hold(self, key: str, backend: Backend) -> None:
        """Do not use a server unless it goes on to renew its entry."""
        self._held_by_key[key] = backend, self._session.now_s + RENEWAL_PROOF_S
        self._session.log.event(
            "entry of a removed server not taken",
            server=backend.id,
            incarnation=backend.incarnation,
            why="the store may have forgotten the removal",
        )

    def _apply_map(self, item: Item) -> bool:
        if item.value is None:
            return False
        try:
            shard_map = decode_stored_map(item.key, item.value)
        except ValueError as error:
            self._session.log.warning(
                "shard map unreadable, ignored", key=item.key, reason=str(error)
            )
            return False
        return self._session.apply_shard_map(shard_map, "store")

    def _apply_map_era(self, item: Item) -> None:
        if item.value is None:
            return
        try:
            era = decode_map_era(item.value)
        except ValueError as error:
            self._session.log.warning("era unreadable, ignored", key=item.key, reason=str(error))
            return
        service = item.key.removeprefix(MAP_ERAS_PREFIX)
        self._session.era_knowledge.record_map_era(service, era)

    def _apply_daemon(self, item: Item) -> None:
        name = item.key.removeprefix(DAEMONS_PREFIX)
        if item.value is None:
            self._session.mark_peer_expired(name)
            return
        try:
            peer = decode_peer(item.key, item.value)
        except ValueError as error:
            self._session.log.warning(
                "daemon entry unreadable, ignored", key=item.key, reason=str(error)
            )
            return
        if peer.name != self._session.settings.daemon:
            self._session.update_peer(peer)

    def _set_granter(self, name: str | None) -> None:
        if name != self._session.granter:
            self._session.granter = name
            self._session.log.event("granter known", granter=name)
        if self.on_granter_update is not None:
            self.on_granter_update()
