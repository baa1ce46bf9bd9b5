"""Logs as JSON lines, one event a line, ordered by a logical clock."""

from __future__ import annotations

import json
import logging
import sys
from typing import TYPE_CHECKING, Any, TextIO

if TYPE_CHECKING:
    from fuchsiawell.core.clock import Clock
    from fuchsiawell.core.lamport import LamportClock

__all__ = ["EventLog", "JsonLines", "open_event_log"]

LOGGER_NAME = "fuchsiawell"


class JsonLines(logging.Formatter):
    """Format each record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record's event fields, or its message, as one line of JSON."""
        fields: dict[str, Any] = getattr(record, "fields", {})
        line = {"level": record.levelname.lower(), "event": record.getMessage(), **fields}
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str, separators=(",", ":"))


class EventLog:
    """Write events of one process, each with its time, its logical count and its process."""

    def __init__(
        self, logger: logging.Logger, process: str, clock: Clock, lamport: LamportClock
    ) -> None:
        self._logger = logger
        self._process = process
        self._clock = clock
        self._lamport = lamport

    def event(self, name: str, **fields: object) -> None:
        """Log `name` with its fields; customary ones are step, peer, request, key, server."""
        self._write(logging.INFO, name, fields)

    def warning(self, name: str, **fields: object) -> None:
        """Log an event that an operator may want to look at."""
        self._write(logging.WARNING, name, fields)

    def debug(self, name: str, **fields: object) -> None:
        """Log an event that is of use only when searching for a fault."""
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
    handler.setFormatter(JsonLines())
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level)
    return EventLog(logger, process, clock, lamport)
