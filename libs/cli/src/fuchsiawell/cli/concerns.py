"""What an operator should know of a cell at a glance, and whether anything needs doing."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import IntEnum, unique
from typing import TYPE_CHECKING

from fuchsiawell.ownership import ServerState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiawell.cli.cell_view import CellView
    from fuchsiawell.daemon.operators import Overview

__all__ = ["Concern", "Urgency", "concerns"]


@unique
class Urgency(IntEnum):
    """Say whether someone must act."""

    NONE = 0  # passes by itself
    LATER = 1  # the service goes on; look again when convenient
    NOW = 2  # some requests are refused until someone acts


@dataclass(frozen=True, slots=True)
class Concern:
    """Hold what is not as it should be, and what to do."""

    urgency: Urgency
    what: str
    advice: str

    def __str__(self) -> str:
        """Return the concern as one line."""
        return f"{self.what} {self.advice}"


def concerns(view: CellView) -> list[Concern]:
    """Return all concerns, the most urgent first."""
    found = [
        *_about_asking(view),
        *_about_store(view),
        *_about_configuration(view),
        *_about_members(view),
        *_about_servers(view.overview),
    ]
    return sorted(found, key=lambda concern: -concern.urgency)


def _about_asking(view: CellView) -> Iterator[Concern]:
    for failure in view.unreachable:
        yield Concern(
            Urgency.LATER,
            f"The daemon at {failure.peer} does not answer ({failure.detail}).",
            "Others do its work. Replace its host when convenient.",
        )
    if len(view.cells) > 1:
        names = ", ".join(sorted(view.cells))
        yield Concern(
            Urgency.NONE, f"The answers are of different cells: {names}.", "Ask one at a time."
        )


def _about_store(view: CellView) -> Iterator[Concern]:
    advice = (
        "Requests go on with the rules and owners in force, but losses cannot be made good "
        "and some never-repeat requests may be refused. Tell whoever runs the store."
    )
    if view.store_failure is not None:
        failure = view.store_failure
        what = f"The platform's store could not be read ({failure.step}: {failure.detail})."
        yield Concern(Urgency.LATER, what, advice)
    cut_off = [daemon.name for daemon in view.daemons if not daemon.store_answers]
    if cut_off:
        what = f"The platform's store does not answer {', '.join(cut_off)}."
        yield Concern(Urgency.LATER, what, advice)
    from_peers = [daemon.name for daemon in view.daemons if not daemon.from_store]
    if from_peers:
        yield Concern(
            Urgency.LATER,
            f"Not confirmed by the store yet: what {', '.join(from_peers)} took from peers.",
            "It passes once the store answers.",
        )


def _about_configuration(view: CellView) -> Iterator[Concern]:
    newest = view.configuration_version
    if view.asked_store and view.store_failure is None and view.configuration is None:
        yield Concern(
            Urgency.NOW, "No configuration is in force.", "Run `fuchsiawell accept` with one."
        )
    behind = [d.name for d in view.daemons if d.configuration_version < newest]
    if behind:
        yield Concern(
            Urgency.NONE,
            f"Not at configuration version {newest} yet: {', '.join(behind)}.",
            "It passes within seconds, or when the daemon is in contact again.",
        )


def _about_members(view: CellView) -> Iterator[Concern]:
    if view.daemons and view.overview is None:
        yield Concern(
            Urgency.NOW,
            "The cell has no assignment yet, so nothing is served.",
            "It gets one within seconds once a configuration is in force and the platform's host "
            "list names the entry hosts and backend servers.",
        )
        return
    idle = [daemon for daemon in view.daemons if not daemon.has_right]
    if view.daemons and len(idle) == len(view.daemons):
        yield Concern(
            Urgency.NOW,
            "No daemon that answered hears most of its cell, so these serve nothing.",
            "Start entry hosts or mend the network between them until more than half run.",
        )
    elif idle:
        names = ", ".join(daemon.name for daemon in idle)
        yield Concern(
            Urgency.LATER,
            f"Cut off from most of the cell: {names}.",
            "Others lead its servers. Replace its host if it stays so.",
        )
    silent: Counter[str] = Counter()
    for daemon in view.daemons:
        silent.update(set(daemon.members) - set(daemon.heard) - {daemon.name})
    for name, count in sorted(silent.items()):
        yield Concern(
            Urgency.LATER,
            f"Member {name} is not heard by {count} of the {len(view.daemons)} that answered.",
            "Others do its work. Replace its host if it stays so.",
        )


def _about_servers(overview: Overview | None) -> Iterator[Concern]:
    if overview is None:
        return
    for service in overview.services:
        if service.unassigned:
            yield Concern(
                Urgency.NOW,
                f"{service.unassigned} of {service.shards} shards of {service.name} have no "
                "server; requests for their keys are refused as not run.",
                f"Start a backend server of {service.name}.",
            )
        if service.moving:
            what = f"{service.moving} shards of {service.name} are on the move."
            yield Concern(Urgency.NONE, what, "It passes by itself.")
    states = {
        ServerState.LOST: (Urgency.LATER, "is lost", "Others own its keys. Mend or replace it."),
        ServerState.DRAINING: (Urgency.NONE, "is leaving", "It passes by itself."),
        ServerState.JOINING: (Urgency.NONE, "is joining", "It gets its keys a few at a time."),
    }
    for server in overview.servers:
        found = states.get(ServerState(server.state))
        if found is not None:
            urgency, what, advice = found
            whole = f"Backend server {server.id} of {server.service} {what}."
            yield Concern(urgency, whole, advice)
        elif server.leader is None:
            what = f"Nobody leads backend server {server.id} of {server.service}."
            yield Concern(Urgency.NOW, what, "Look whether entry hosts run.")
