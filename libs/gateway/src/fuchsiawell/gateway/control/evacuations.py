"""Apply the evacuations of zones that the store names, and report how far they are."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from fuchsiawell.gateway.ports import Item
    from fuchsiawell.gateway.session.state import Session

__all__ = ["Evacuations"]

# Part of a key without a usable zone that is logged.
MAX_LOGGED_CHARACTERS = 80
# Time in which the operator writes a key again that an older copy of the store lacks.
KEY_RETURN_S = 2.2
# How long it is known that a zone was taken back, and how long a key that a copy has of it does not
# count unless it is written again.
TAKEN_BACK_RETENTION_S, TAKEN_BACK_HOLD_S = 60.0, 6.0


class Evacuations:
    """Maintain `Session.evacuated_zones` by the keys with a prefix, each of which names a zone."""

    def __init__(self, session: Session, prefix: str) -> None:
        self._session = session
        self._prefix = prefix
        # Whether the keys were listed since the start of the daemon.
        self._listed = False
        # Until when zones stay evacuated whose keys a copy of the store lacks.
        self._missing_until_s: dict[str, float] = {}
        # When zones were taken back, and keys of a copy that may be older than that, with the time
        # from which they count.
        self._taken_back_s: dict[str, float] = {}
        self._held: dict[str, tuple[Item, float]] = {}
        self.on_zone_taken_back: Callable[[str], None] = _ignore

    def apply(self, item: Item, unconfirmed_s: float, from_copy: bool = False) -> None:
        """Apply the change of a key, or a key of a copy of the store.

        `unconfirmed_s` is the age of this daemon's knowledge just before the change arrived.
        """
        if not self._listed:
            # How old an evacuation is that a daemon finds at its start is not known.
            unconfirmed_s = float("inf")
        zone = item.key.removeprefix(self._prefix)
        self._held.pop(zone, None)
        if from_copy and self._was_taken_back(zone):
            self._held[zone] = item, self._session.now_s + TAKEN_BACK_HOLD_S
        elif not zone or "/" in zone:
            self._log_ignored(item, "the key names no zone")
        elif item.value is None:
            self._take_back(zone)
        else:
            self._evacuate(zone, item, unconfirmed_s)

    def recall(self, zone: str, since_s: float) -> None:
        """Evacuate a zone of which another daemon knows, until the store has been listed."""
        session = self._session
        if zone in session.evacuated_zones or not session.evacuated_zones.add(zone, since_s):
            return
        self._log("zone evacuated", zone)
        session.wake()

    def finish_listing(self, keys: Collection[str]) -> None:
        """Take back the zones that a listing does not name, once its items have been applied."""
        self._listed = True
        for zone in [z for z in self._session.evacuated_zones if self._prefix + z not in keys]:
            self._take_back(zone)

    def finish_copy(self, keys: Collection[str]) -> None:
        """Take back the zones that an older copy of the store does not name, if that remains so."""
        self._listed = True
        until_s = self._session.now_s + KEY_RETURN_S
        for zone in self._session.evacuated_zones:
            if self._prefix + zone not in keys:
                self._missing_until_s[zone] = until_s

    def expire(self) -> None:
        """Take back the zones whose keys were not written again in time."""
        now_s = self._session.now_s
        for zone in [zone for zone, until_s in self._missing_until_s.items() if until_s <= now_s]:
            self._take_back(zone)
        oldest_s = now_s - TAKEN_BACK_RETENTION_S
        self._taken_back_s = {z: at_s for z, at_s in self._taken_back_s.items() if at_s > oldest_s}
        for zone in [zone for zone, (_, until_s) in self._held.items() if until_s <= now_s]:
            self._evacuate(zone, self._held.pop(zone)[0], 0.0)

    def on_store_return(self) -> None:
        """Wait anew for the operator to take zones back that a copy has as evacuated."""
        until_s = self._session.now_s + TAKEN_BACK_HOLD_S
        self._held = {zone: (item, until_s) for zone, (item, _) in self._held.items()}

    def count_ranges(self, zone: str | None = None) -> int:
        """Return the number of key ranges owned by servers of a zone, or of all evacuated ones."""
        session = self._session
        zones = session.evacuated_zones if zone is None else {zone}
        if not zones:
            return 0
        ids = {b.id for b in session.directory.by_id.values() if b.zone in zones}
        return sum(
            assignment.owner is not None and assignment.owner.backend_id in ids
            for shard_map in session.shard_maps.values()
            for assignment in shard_map.assignments
        )

    def log_progress(self) -> None:
        """Log the ranges that are left in each evacuated zone, on the granter."""
        session = self._session
        if session.granter != session.settings.daemon:
            return
        for zone in session.evacuated_zones:
            if ranges_left := self.count_ranges(zone):
                session.request_log.write(
                    "evacuation under way", zone=zone, ranges_left=ranges_left
                )

    def _evacuate(self, zone: str, item: Item, unconfirmed_s: float) -> None:
        session = self._session
        self._missing_until_s.pop(zone, None)
        if zone in session.evacuated_zones:
            return
        # An evacuation that may have begun earlier than a daemon in contact with the store learns
        # of it counts from earlier, so that owners get no requests after the bound.
        max_age_s = session.settings.max_store_age.total_seconds()
        start_s = session.now_s - max(0.0, unconfirmed_s - max_age_s)
        if not session.evacuated_zones.add(zone, start_s):
            self._log_ignored(item, "too many zones")
            return
        self._log("zone evacuated", zone)
        session.wake()

    def _take_back(self, zone: str) -> None:
        self._missing_until_s.pop(zone, None)
        self._held.pop(zone, None)
        if self._session.evacuated_zones.remove(zone):
            self._taken_back_s[zone] = self._session.now_s
            self._log("zone taken back", zone)
            self.on_zone_taken_back(zone)
            self._session.wake()

    def _was_taken_back(self, zone: str) -> bool:
        return zone in self._taken_back_s and zone not in self._session.evacuated_zones

    def _log(self, event: str, zone: str) -> None:
        session = self._session
        servers = sum(backend.zone == zone for backend in session.directory.by_id.values())
        session.log.event(event, zone=zone, servers=servers, ranges=self.count_ranges(zone))

    def _log_ignored(self, item: Item, why: str) -> None:
        self._session.request_log.write(
            "evacuation ignored", key=item.key[:MAX_LOGGED_CHARACTERS], why=why
        )


def _ignore(zone: str) -> None:
    """Do nothing when a zone is taken back."""
