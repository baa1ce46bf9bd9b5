"""Structured logs: one JSON object per line, stamped with wall-clock and Lamport time."""

from __future__ import annotations

import json
import logging
import sys
from typing import TYPE_CHECKING, Any, TextIO

if TYPE_CHECKING:
    from fuchsiawell.core.clock import Clock
    from fuchsiawell.core.lamport import LamportClock

__all__ = ["EventLog", "JsonLinesFormatter", "open_event_log"]

LOGGER_NAME = "fuchsiawell"
# Of the fields of a longer line only the first characters are written.
MAX_LINE_CHARACTERS = 16_384
MAX_FIELD_CHARACTERS = 512


class JsonLinesFormatter(logging.Formatter):
    """Format each record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return level, event, event fields and exception, if any, as one line of JSON."""
        fields: dict[str, Any] = getattr(record, "fields", {})
        line = {"level": record.levelname.lower(), "event": record.getMessage(), **fields}
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        text = _encode(line)
        if len(text) > MAX_LINE_CHARACTERS:
            text = _encode({name: _shorten(value) for name, value in line.items()})
        return text


class EventLog:
    """Write events of one process with wall-clock time, Lamport time and process name."""

    def __init__(
        self, logger: logging.Logger, process: str, clock: Clock, lamport: LamportClock
    ) -> None:
        self._logger = logger
        self._process = process
        self._clock = clock
        self._lamport = lamport

    def event(self, name: str, **fields: object) -> None:
        """Log `name` with its fields; usual fields are step, peer, request, key and server."""
        self._write(logging.INFO, name, fields)

    def warning(self, name: str, **fields: object) -> None:
        """Log an event that an operator may have to act on."""
        self._write(logging.WARNING, name, fields)

    def debug(self, name: str, **fields: object) -> None:
        """Log an event that is useful for debugging only."""
        self._write(logging.DEBUG, name, fields)

    def _write(self, level: int, name: str, fields: dict[str, object]) -> None:
        if not self._logger.isEnabledFor(level):
            return
        stamp = {
            "time": self._clock.now().isoformat(),
            "lamport": self._lamport.tick(),
            "process": self._process,
        }
        self._logger.log(level, name, extra={"fields": {**stamp, **fields}})


def open_event_log(
    process: str,
    clock: Clock,
    lamport: LamportClock,
    level: int = logging.INFO,
    stream: TextIO | None = None,
) -> EventLog:
    """Return an event log that writes JSON lines to `stream`, standard error by default."""
    logger = logging.getLogger(f"{LOGGER_NAME}.{process}")
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonLinesFormatter())
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level)
    return EventLog(logger, process, clock, lamport)


def _encode(line: dict[str, Any]) -> str:
    return json.dumps(line, default=str, separators=(",", ":"))


def _shorten(value: object) -> object:
    """Return the start of a field whose encoding is long."""
    if isinstance(value, int | float | None):
        return value
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if len(text) <= MAX_FIELD_CHARACTERS:
        return value
    return f"{text[:MAX_FIELD_CHARACTERS]}... ({len(text)} characters)"
