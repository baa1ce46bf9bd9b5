"""The page that `fuchsiawell status` prints: the verdict first, then the details."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.cli.concerns import Urgency, concerns

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from fuchsiawell.cli.cell_view import CellView, DaemonView
    from fuchsiawell.daemon.operators import Overview

__all__ = ["status_page"]

VERDICTS = {
    Urgency.NONE: "All is well. Nothing to do.",
    Urgency.LATER: "The service goes on. Nothing to do at once.",
    Urgency.NOW: "SOMETHING TO DO: some requests are refused.",
}


def status_page(view: CellView) -> str:
    """Return the page as text."""
    return "\n".join(_lines(view)) + "\n"


def _lines(view: CellView) -> Iterator[str]:
    found = concerns(view)
    yield VERDICTS[max((concern.urgency for concern in found), default=Urgency.NONE)]
    for concern in found:
        yield f"  - {concern}"
    yield ""
    yield f"Configuration version {view.configuration_version or 'none'} is the newest seen."
    overview = view.overview
    if overview is not None:
        yield from _overview_lines(overview)
    if view.daemons:
        yield ""
        yield from _daemon_lines(view.daemons)


def _overview_lines(overview: Overview) -> Iterator[str]:
    yield (
        f"Cell {overview.cell}: assignment revision {overview.revision}, controller "
        f"{overview.controller} in term {overview.controller_term}, "
        f"members {', '.join(overview.members)}."
    )
    yield ""
    yield from _table(
        ("SERVICE", "SHARDS", "MOVING", "UNASSIGNED", "PINNED KEYS"),
        [
            (s.name, str(s.shards), str(s.moving), str(s.unassigned), str(s.pinned_keys))
            for s in overview.services
        ],
    )
    yield ""
    yield from _table(
        ("SERVER", "SERVICE", "ZONE", "STATE", "LEADER", "TERM", "SHARDS", "CHECKS"),
        [
            (
                s.id,
                s.service,
                s.zone,
                s.state,
                s.leader or "-",
                str(s.term),
                f"{s.shards} ({s.releasing} leaving)" if s.releasing else str(s.shards),
                "yes" if s.checks_fence else "no",
            )
            for s in overview.servers
        ],
    )


def _daemon_lines(daemons: Sequence[DaemonView]) -> Iterator[str]:
    yield from _table(
        ("DAEMON", "ZONE", "ACTS", "HEARS", "LEADS", "CONFIG", "STORE", "IN FLIGHT", "OUTCOMES"),
        [
            (
                d.name,
                d.zone,
                "yes" if d.has_right else "no",
                str(len(d.heard)),
                str(len(d.leads)),
                str(d.configuration_version),
                "answers" if d.store_answers else "fails",
                str(d.in_flight),
                ", ".join(f"{name} {n}" for name, n in sorted(d.count_by_outcome.items())) or "-",
            )
            for d in sorted(daemons, key=lambda daemon: daemon.name)
        ],
    )


def _table(head: tuple[str, ...], rows: list[tuple[str, ...]]) -> Iterator[str]:
    widths = [max(len(cell) for cell in column) for column in zip(head, *rows, strict=True)]
    for row in (head, *rows):
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(cells).rstrip()
