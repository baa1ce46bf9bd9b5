"""For how long ids and copies of never-repeat requests matter, from the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.config import IdStyle, StoreOutage

if TYPE_CHECKING:
    from fuchsiawell.config import Configuration, Kind
    from fuchsiawell.core import ServiceName

__all__ = ["lingers_s", "outage_windows", "runs_unjournaled", "window_s"]

STALL_S = 3.0  # a silent stream between daemons is given up within this time


def lingers_s(kind: Kind) -> float:
    """Return how long a copy of a request may be on its way."""
    return kind.deadline_s + STALL_S


def window_s(kind: Kind) -> float:
    """Return how long an id is remembered, at least while a copy may be on its way."""
    return max(kind.resend_window_s, lingers_s(kind))


def runs_unjournaled(kind: Kind) -> bool:
    """Tell whether ids that callers made run while the journal cannot be written.

    Issued ids need no journal. An id of the caller's own for a kind with issued ids is refused
    then, so that such kinds cost a successor no wait.
    """
    return kind.store_outage is StoreOutage.CONTINUE and kind.id_style is IdStyle.FREE_FORM


def outage_windows(configuration: Configuration) -> dict[ServiceName, float]:
    """Return the longest window in seconds of each service that goes on in a store outage."""
    windows: dict[ServiceName, float] = {}
    for name, service in configuration.services_by_name.items():
        if not service.checks_fence:
            continue
        for kind in service.kinds_by_name.values():
            if not kind.repeatable and runs_unjournaled(kind):
                windows[name] = max(window_s(kind), windows.get(name, 0.0))
    return windows
