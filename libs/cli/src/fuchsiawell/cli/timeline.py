"""The command `timeline`: merge the logs of all daemons into one time line."""

from __future__ import annotations

import sys
from pathlib import Path  # noqa: TC003 - defopt reads the annotations at run time

from fuchsiawell.cli.exit_status import ExitStatus, fail
from fuchsiawell.cli.log_lines import LogLine, ParsedLog, parse_lines, parse_time
from fuchsiawell.cli.merge import EventFilter, find_clock_lags, merge

__all__ = ["format_line", "timeline"]

MAX_MALFORMED_SHOWN = 20


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
) -> ExitStatus:
    """Print the events of all daemons in one order, from their JSON logs.

    Malformed lines are reported on standard error and skipped.

    :param logs: log files, in any order
    :param key: only events about this key
    :param request: only events about the request with this id
    :param server: only events about this backend server, or with it as peer
    :param daemon: only events of this daemon
    :param event: only events with this name
    :param since: only events at or after this time, as in 2026-01-01T12:00:00
    :param until: only events at or before this time
    :param as_json: print the JSON lines as they were logged
    """
    if not logs:
        return fail("timeline needs at least one log file", ExitStatus.USAGE_ERROR)
    try:
        event_filter = EventFilter(
            key,
            request,
            server,
            daemon,
            event,
            None if since is None else parse_time(since),
            None if until is None else parse_time(until),
        )
        parsed_logs = [_parse(log) for log in logs]
    except ValueError as error:
        return fail(f"invalid time in --since or --until: {error}")
    except OSError as error:
        return fail(f"cannot read log file {error.filename}: {error.strerror}")
    lines = merge(parsed.lines for parsed in parsed_logs)
    for line in lines:
        if event_filter.matches(line):
            print(line.text if as_json else format_line(line))
    _report_problems(parsed_logs, lines)
    return ExitStatus.OK


def format_line(line: LogLine) -> str:
    """Return the event as one line of readable text."""
    time = line.time.isoformat(timespec="milliseconds")
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    level_prefix = "" if line.level in ("info", "debug") else f"{line.level.upper()} "
    return (
        f"{time} {line.lamport:>8} {line.process:<12} {level_prefix}{line.event} {fields}".rstrip()
    )


def _parse(log: Path) -> ParsedLog:
    with log.open(encoding="utf-8", errors="replace") as texts:
        return parse_lines(str(log), texts)


def _report_problems(parsed_logs: list[ParsedLog], lines: list[LogLine]) -> None:
    malformed = [line for parsed in parsed_logs for line in parsed.malformed]
    for line in malformed[:MAX_MALFORMED_SHOWN]:
        print(line, file=sys.stderr)
    if len(malformed) > MAX_MALFORMED_SHOWN:
        print(f"and {len(malformed) - MAX_MALFORMED_SHOWN} more malformed lines", file=sys.stderr)
    for clock_lag in find_clock_lags(lines):
        print(f"note: {clock_lag}", file=sys.stderr)
