"""The answers kept for resends, within a bound of bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.once.records import KeptAnswer, Record

__all__ = ["KeptAnswers"]


class KeptAnswers:
    """Attach answers to records, and drop the oldest ones where there is no room."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._records_by_identity: dict[bytes, Record] = {}  # oldest first
        self._bytes = 0

    def keep(self, record: Record, answer: KeptAnswer) -> None:
        """Attach the answer, unless it is larger than all room."""
        if answer.size > self._max_bytes:
            return
        record.answer = answer
        self._records_by_identity[record.identity] = record
        self._bytes += answer.size
        while self._bytes > self._max_bytes:
            self.drop(next(iter(self._records_by_identity.values())))

    def drop(self, record: Record) -> None:
        """Detach the answer of a record, if it has one."""
        if record.answer is not None:
            self._bytes -= record.answer.size
            record.answer = None
            del self._records_by_identity[record.identity]
