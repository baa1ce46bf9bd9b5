"""Parse the log lines of daemons; malformed lines are collected separately."""

from __future__ import annotations

import json
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["LogLine", "MalformedLine", "ParsedLog", "parse_line", "parse_lines", "parse_time"]

MAX_SHOWN_CHARS = 60  # of a malformed line
STAMP_FIELDS = frozenset({"time", "lamport", "process", "event", "level"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event of one process."""

    time: datetime
    lamport: int
    process: str
    event: str
    level: str
    fields: dict[str, Any]
    text: str  # the line as logged

    def has_value(self, field: str, value: str) -> bool:
        """Tell whether `field`, converted to text, equals `value`."""
        return str(self.fields.get(field)) == value


@dataclass(frozen=True, slots=True)
class MalformedLine:
    """A line that could not be parsed, and why."""

    source: str
    number: int  # counted from 1
    reason: str
    text: str

    def __str__(self) -> str:
        shown = self.text[:MAX_SHOWN_CHARS]
        return f"{self.source}:{self.number}: {self.reason}: {shown!r}"


@dataclass(frozen=True, slots=True)
class ParsedLog:
    """The events of one log in file order, and its malformed lines."""

    lines: list[LogLine]
    malformed: list[MalformedLine]


def parse_time(text: Any) -> datetime:
    """Parse an ISO 8601 time, in UTC if it has no offset; raises ValueError."""
    if not isinstance(text, str):
        raise ValueError("not an ISO 8601 time")
    time = datetime.fromisoformat(text)
    return time if time.tzinfo else time.replace(tzinfo=UTC)


class StampModel(BaseModel):
    """Validate the fields that every line has; other fields are ignored."""

    model_config = ConfigDict(strict=True, extra="ignore")

    time: Annotated[datetime, BeforeValidator(parse_time)]
    lamport: Annotated[int, Field(ge=0)]
    process: Annotated[str, Field(min_length=1)]
    event: Annotated[str, Field(min_length=1)]
    level: str = "info"


def parse_line(text: str) -> Result[LogLine, str]:
    """Return the event of a line, or the reason why the line is malformed."""
    try:
        raw = json.loads(text)
        stamp = StampModel.model_validate(raw)
    except ValidationError as error:
        first = error.errors()[0]
        path = ".".join(str(part) for part in first["loc"]) or "line"
        return Err(f"{path}: {first['msg']}")
    except (ValueError, RecursionError):
        return Err("not JSON")
    fields = {name: value for name, value in raw.items() if name not in STAMP_FIELDS}
    return Ok(
        LogLine(
            stamp.time, stamp.lamport, stamp.process, stamp.event, stamp.level, fields, text.strip()
        )
    )


def parse_lines(source: str, texts: Iterable[str]) -> ParsedLog:
    """Parse all lines of the log file `source`; empty lines are skipped."""
    parsed = ParsedLog([], [])
    for number, text in enumerate(texts, start=1):
        if not text.strip():
            continue
        match parse_line(text):
            case Ok(line):
                parsed.lines.append(line)
            case Err(reason):
                parsed.malformed.append(MalformedLine(source, number, reason, text.strip()))
    return parsed
