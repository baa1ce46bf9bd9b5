"""Datagrams about queued work between daemons."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "GroupQueuedWorkReport",
    "QueueReport",
    "QueuedWorkReport",
    "TotalQueuedWorkReport",
    "decode_queue_report",
    "encode_queue_report",
]

# Larger numbers are malformed. Work of this many ms takes years.
MAX_SHORT_ID = MAX_WORK_MS = 2**32 - 1
# Rows with more classes are malformed: a service has as many as its routes have urgencies.
MAX_CLASSES = 16


@dataclass(frozen=True)
class QueuedWorkReport:
    """Milliseconds of work that wait at the sender, by class, by short id of the server."""

    work_ms: dict[int, list[int]]


@dataclass(frozen=True)
class GroupQueuedWorkReport:
    """Queued work of the sender's group; from hub to hub."""

    work_ms: dict[int, list[int]]


@dataclass(frozen=True)
class TotalQueuedWorkReport:
    """Queued work of all daemons; from a hub to its followers."""

    work_ms: dict[int, list[int]]


QueueReport = QueuedWorkReport | GroupQueuedWorkReport | TotalQueuedWorkReport


def encode_queue_report(message: QueueReport) -> list[object]:
    match message:
        case QueuedWorkReport(work_ms):
            return ["u", work_ms]
        case GroupQueuedWorkReport(work_ms):
            return ["y", work_ms]
        case TotalQueuedWorkReport(work_ms):
            return ["z", work_ms]


def decode_queue_report(kind: object, work_ms: object) -> QueueReport:
    """Return the report of a kind; raises ValueError if it is malformed."""
    match kind:
        case "u":
            return QueuedWorkReport(_work(work_ms))
        case "y":
            return GroupQueuedWorkReport(_work(work_ms))
        case "z":
            return TotalQueuedWorkReport(_work(work_ms))
        case _:
            raise ValueError(f"queue report {kind!r} is unknown")


def _work(value: object) -> dict[int, list[int]]:
    if not isinstance(value, dict):
        raise ValueError(f"{value!r} is no queued work")
    return {_number(server, MAX_SHORT_ID): _row(row) for server, row in value.items()}


def _row(value: object) -> list[int]:
    if not isinstance(value, list) or not 0 < len(value) <= MAX_CLASSES:
        raise ValueError(f"{value!r} is no work by class")
    return [_number(work_ms, MAX_WORK_MS) for work_ms in value]


def _number(value: object, maximum: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= maximum:
        raise ValueError(f"{value!r} is no number in range")
    return value
