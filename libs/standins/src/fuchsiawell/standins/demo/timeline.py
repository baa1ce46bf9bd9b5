"""The time line of one phase, from the daemons' logs and the callers' view."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

from fuchsiawell.standins.demo.attempts import Ending
from fuchsiawell.standins.demo.site import SiteError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiawell.standins.demo.attempts import Attempt, Phase
    from fuchsiawell.standins.demo.site import Site

__all__ = ["caller_lines", "recovery_lines"]

TIMEOUT_S = 20.0
SHOWN_LINES = 30
REQUEST_EVENT = " refused outcome="
SHOWN_COLUMNS = 150


async def recovery_lines(site: Site, phase: Phase, attempts: Iterable[Attempt]) -> list[str]:
    """Return what the daemons logged during the phase, after what callers saw of it."""
    since, until = _wall_time(phase.started_at_s), _wall_time(phase.ended_at_s)
    logs = [str(log) for log in site.daemon_logs()]
    argv = ["timeline", *logs, "--since", since, "--until", until]
    try:
        printed = (await site.run_command("timeline", argv, TIMEOUT_S)).splitlines()
    except SiteError as error:
        printed = [str(error)]
    return [f"{since} {phase.name}", *caller_lines(phase, attempts), *_shortened(printed)]


def caller_lines(phase: Phase, attempts: Iterable[Attempt]) -> list[str]:
    """Return when the failures of the phase began and ended, as its callers saw it."""
    failed = [
        attempt
        for attempt in attempts
        if phase.started_at_s <= attempt.ended_at_s < phase.ended_at_s
        and attempt.ending is not Ending.ANSWERED
    ]
    if not failed:
        return ["callers: no failure"]
    first = min(failed, key=lambda attempt: attempt.ended_at_s)
    last = max(failed, key=lambda attempt: attempt.ended_at_s)
    return [
        f"callers: {what} failure {attempt.ended_at_s - phase.started_at_s:.2f} s after the loss: "
        f"{attempt.service}/{attempt.kind} {attempt.ending}"
        for what, attempt in (("first", first), ("last", last))
    ]


def _shortened(printed: list[str]) -> list[str]:
    """Leave out single requests, which the table counts, and what is over the limit."""
    events = [line for line in printed if REQUEST_EVENT not in line]
    lines = [line[:SHOWN_COLUMNS] for line in events[:SHOWN_LINES]]
    if len(events) > SHOWN_LINES:
        lines.append(f"... and {len(events) - SHOWN_LINES} events more")
    if len(events) < len(printed):
        lines.append(f"({len(printed) - len(events)} refusals of single requests left out)")
    return lines


def _wall_time(at_s: float) -> str:
    """Return a monotonic time of this host as the logs of its processes would write it."""
    at = datetime.now(tz=UTC) - timedelta(seconds=time.monotonic() - at_s)
    return at.isoformat()
