"""The record of everything that a backend server ran, to count duplicates and false answers."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, replace
from enum import StrEnum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from fuchsiawell.core import Clock

__all__ = ["Ending", "Execution", "ExecutionLog", "read_executions"]


@unique
class Ending(StrEnum):
    """Say how an execution ended."""

    RUNNING = "running"  # not ended yet, or the server was lost
    DONE = "done"
    CANCELLED = "cancelled"
    EXPIRED = "expired"  # stopped at its deadline
    CRASHED = "crashed"


@dataclass(frozen=True, slots=True)
class Execution:
    """Describe one run of a request; times are this host's monotonic seconds."""

    number: int
    server: str
    request: str
    idempotency_key: str | None
    path: str
    shard: str | None
    epoch: int | None
    term: int | None
    body_bytes: int
    started_at_s: float
    ended_at_s: float | None = None
    ending: Ending = Ending.RUNNING


class ExecutionLog:
    """Keep every execution; a line a change in a file outlives a kill of the server."""

    def __init__(self, clock: Clock, file: Path | None = None) -> None:
        self._clock = clock
        self._by_number: dict[int, Execution] = {}
        self._stream = None if file is None else file.open("a", buffering=1)

    def start(self, execution: Execution) -> Execution:
        """Record that work starts now, and return it with its number and time."""
        number = len(self._by_number) + 1
        return self._keep(replace(execution, number=number, started_at_s=self._clock.monotonic()))

    def end(self, execution: Execution, ending: Ending) -> None:
        """Record how the work ended."""
        self._keep(replace(execution, ended_at_s=self._clock.monotonic(), ending=ending))

    def all(self) -> list[Execution]:
        """Return every execution in order of its start."""
        return list(self._by_number.values())

    def close(self) -> None:
        """Close the file."""
        if self._stream is not None:
            self._stream.close()

    def _keep(self, execution: Execution) -> Execution:
        self._by_number[execution.number] = execution
        if self._stream is not None:
            self._stream.write(json.dumps(asdict(execution)) + "\n")
        return execution


def read_executions(file: Path) -> list[Execution]:
    """Return the last state of each execution in a file, over all runs of its server."""
    by_start: dict[tuple[int, float], Execution] = {}
    for line in file.read_text().splitlines():
        fields = json.loads(line)
        fields["ending"] = Ending(fields["ending"])
        execution = Execution(**fields)
        by_start[execution.number, execution.started_at_s] = execution
    return list(by_start.values())
