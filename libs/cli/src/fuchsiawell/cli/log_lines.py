"""Log lines of daemons, validated one by one; broken ones are reported and left out."""

from __future__ import annotations

import json
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["BrokenLine", "LogLine", "LogRead", "parse_time", "read_line", "read_lines"]

MAX_SHOWN_CHARS = 60  # of a broken line
STAMP = frozenset({"time", "lamport", "process", "event", "level"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one event of one process."""

    time: datetime
    lamport: int
    process: str
    event: str
    level: str
    fields: dict[str, Any]
    text: str  # as it was written

    def names(self, field: str, value: str) -> bool:
        """Tell whether the event's `field` is `value`."""
        return str(self.fields.get(field)) == value


@dataclass(frozen=True, slots=True)
class BrokenLine:
    """Say where a line is that could not be read, and why."""

    source: str
    number: int  # from 1
    reason: str
    text: str

    def __str__(self) -> str:
        """Return the report as one line."""
        shown = self.text[:MAX_SHOWN_CHARS]
        return f"{self.source}:{self.number}: {self.reason}: {shown!r}"


@dataclass(frozen=True, slots=True)
class LogRead:
    """Hold what could be read of one log, in its order, and what could not."""

    lines: list[LogLine]
    broken: list[BrokenLine]


def parse_time(text: Any) -> datetime:
    """Return the ISO 8601 time, in UTC where it names no zone; or raise `ValueError`."""
    if not isinstance(text, str):
        raise ValueError("not a time in ISO 8601")
    time = datetime.fromisoformat(text)
    return time if time.tzinfo else time.replace(tzinfo=UTC)


class StampModel(BaseModel):
    """Validate what every line carries; other fields are free."""

    model_config = ConfigDict(strict=True, extra="ignore")

    time: Annotated[datetime, BeforeValidator(parse_time)]
    lamport: Annotated[int, Field(ge=0)]
    process: Annotated[str, Field(min_length=1)]
    event: Annotated[str, Field(min_length=1)]
    level: str = "info"


def read_line(text: str) -> Result[LogLine, str]:
    """Return the event that a line holds, or the reason why it holds none."""
    try:
        raw = json.loads(text)
        stamp = StampModel.model_validate(raw)
    except ValidationError as error:
        found = error.errors()[0]
        place = ".".join(str(part) for part in found["loc"]) or "line"
        return Err(f"{place}: {found['msg']}")
    except (ValueError, RecursionError):
        return Err("not JSON")
    fields = {name: value for name, value in raw.items() if name not in STAMP}
    return Ok(
        LogLine(
            stamp.time, stamp.lamport, stamp.process, stamp.event, stamp.level, fields, text.strip()
        )
    )


def read_lines(source: str, texts: Iterable[str]) -> LogRead:
    """Read a whole log; empty lines are skipped."""
    read = LogRead([], [])
    for number, text in enumerate(texts, start=1):
        if not text.strip():
            continue
        match read_line(text):
            case Ok(line):
                read.lines.append(line)
            case Err(reason):
                read.broken.append(BrokenLine(source, number, reason, text.strip()))
    return read
