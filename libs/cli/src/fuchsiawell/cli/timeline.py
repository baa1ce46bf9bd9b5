"""The command that merges the logs of all daemons into one time line."""

from __future__ import annotations

import sys
from pathlib import Path  # noqa: TC003 - the argument parser reads the annotations

from fuchsiawell.cli.exit_status import Exit, fail
from fuchsiawell.cli.log_lines import LogLine, LogRead, parse_time, read_lines
from fuchsiawell.cli.merge import Filter, clock_steps, merge

__all__ = ["show_line", "timeline"]

MAX_BROKEN_SHOWN = 20


def timeline(
    *logs: Path,
    key: str | None = None,
    request: str | None = None,
    server: str | None = None,
    daemon: str | None = None,
    event: str | None = None,
    since: str | None = None,
    until: str | None = None,
    as_json: bool = False,
) -> Exit:
    """Print the events of all daemons in one order, from their JSON logs.

    Broken lines are reported on standard error and left out.

    :param logs: log files, in any order
    :param key: only events about this key
    :param request: only events about the request with this id
    :param server: only events about this backend server, or with it as peer
    :param daemon: only events of this daemon
    :param event: only events of this name
    :param since: only events at or after this time, as in 2026-01-01T12:00:00
    :param until: only events at or before this time
    :param as_json: print the lines as they were logged
    """
    if not logs:
        return fail("timeline needs at least one log file", Exit.USAGE)
    try:
        chosen = Filter(
            key,
            request,
            server,
            daemon,
            event,
            None if since is None else parse_time(since),
            None if until is None else parse_time(until),
        )
        reads = [_read(log) for log in logs]
    except ValueError as error:
        return fail(f"--since and --until: {error}")
    except OSError as error:
        return fail(f"read log at {error.filename}: {error.strerror}")
    lines = merge(read.lines for read in reads)
    for line in lines:
        if chosen.takes(line):
            print(line.text if as_json else show_line(line))
    _report(reads, lines)
    return Exit.DONE


def show_line(line: LogLine) -> str:
    """Return the event as a line for people."""
    time = line.time.isoformat(timespec="milliseconds")
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    mark = "" if line.level in ("info", "debug") else f"{line.level.upper()} "
    return f"{time} {line.lamport:>8} {line.process:<12} {mark}{line.event} {fields}".rstrip()


def _read(log: Path) -> LogRead:
    with log.open(encoding="utf-8", errors="replace") as texts:
        return read_lines(str(log), texts)


def _report(reads: list[LogRead], lines: list[LogLine]) -> None:
    broken = [line for read in reads for line in read.broken]
    for found in broken[:MAX_BROKEN_SHOWN]:
        print(found, file=sys.stderr)
    if len(broken) > MAX_BROKEN_SHOWN:
        print(f"and {len(broken) - MAX_BROKEN_SHOWN} broken lines more", file=sys.stderr)
    for step in clock_steps(lines):
        print(f"note: {step}", file=sys.stderr)
