"""Take new versions of the configuration, and none that comes back older."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.gateway.ports import RecordDecoder
    from fuchsiawell.gateway.session.state import Session

__all__ = ["ConfigurationUpdates"]

# Unusable parts of one configuration that are logged.
MAX_LOGGED_PROBLEMS = 10


class ConfigurationUpdates:
    """Apply records of the configuration from the store and from other daemons.

    The store may have forgotten versions that were in force: then those that it holds, or that the
    operator writes again in turn, are not taken until it has the last one known.
    """

    def __init__(self, session: Session, records: RecordDecoder) -> None:
        self._session = session
        self._records = records
        # The record of the configuration in force.
        self.record: bytes | None = None
        # The last version known, while the store may hold an older one.
        self._forgotten_version: int | None = None
        # A record of the store that was not taken for that reason.
        self._older_record: bytes | None = None

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if there is none."""
        configuration = self._session.configuration
        return 0 if configuration is None else configuration.version

    def expect_version(self, version: int) -> None:
        """Take none of the store below a version that other daemons have."""
        if version > self.version:
            self._forgotten_version = version

    def expect_version_in_force(self) -> None:
        """Take none of the store below the version in force."""
        if self._session.configuration is not None:
            self._forgotten_version = max(self.version, self._forgotten_version or 0)

    def stop_expecting(self) -> None:
        """Take what the store has if nothing newer could be had."""
        record, self._older_record = self._older_record, None
        if record is not None and self._session.configuration is None:
            self._forgotten_version = None
            self.apply(record, "store", 0.0)

    def recall(self, record: bytes, daemon: str) -> None:
        """Apply the record of another daemon."""
        try:
            self.apply(record, daemon, 0.0)
        except Exception as error:
            # Without it, the configuration of the store would not be taken in its place.
            self._session.log.warning(
                "configuration of another daemon not applied",
                step="recall",
                daemon=daemon,
                error=repr(error),
            )
        if self.record == record:
            # The operator may write again all versions that the store has forgotten, in turn.
            self._forgotten_version = self.version

    def apply(self, record: bytes, source: str, unconfirmed_s: float) -> None:
        """Apply a record; `unconfirmed_s` is the age of this daemon's knowledge before it."""
        session = self._session
        try:
            configuration = self._records.decode_configuration(record)
        except ValueError as error:
            session.log.warning(
                "configuration unreadable, keeping the current one", reason=str(error)
            )
            return
        if self._forgotten_version is not None:
            if configuration.version < self._forgotten_version:
                session.log.warning(
                    "older configuration of the store's copy not taken",
                    version=configuration.version,
                    known=self._forgotten_version,
                )
                self._older_record = record
                return
            self._forgotten_version = self._older_record = None
        session.configuration, self.record = configuration, record
        if configuration.problems:
            session.log.warning(
                "configuration unusual, parts left out or replaced by defaults",
                version=configuration.version,
                count=len(configuration.problems),
                reasons=configuration.problems[:MAX_LOGGED_PROBLEMS],
            )
        session.log.event(
            "configuration taken",
            version=configuration.version,
            routes=len(configuration.routes),
            source=source,
            unconfirmed_ms=round(unconfirmed_s * 1000),
        )
        session.wake()
