from __future__ import annotations

from dataclasses import replace

from fuchsiawell.cli.cell_view import CellView, DaemonView
from fuchsiawell.daemon.operators import Overview, ServerRow, ServiceRow

MEMBERS = ("d1", "d2", "d3")
SERVER = ServerRow("s1", "penwatch", "vuda", "active", "d1", 4, True, 128, 0)
SERVICE = ServiceRow("penwatch", 128, 0, 0, 0)
OVERVIEW = Overview("viti-west", 12, "d1", 3, list(MEMBERS), [SERVER], [SERVICE])


def daemon(name: str, **changes: object) -> DaemonView:
    heard = tuple(member for member in MEMBERS if member != name)
    view = DaemonView(
        name, "vuda", "viti-west", OVERVIEW, True, heard, True, True, MEMBERS, 2, {}, 0, {}
    )
    return replace(view, **changes)  # type: ignore[arg-type]


WELL = CellView(tuple(daemon(name) for name in MEMBERS), cells=frozenset({"viti-west"}))


def with_overview(**changes: object) -> CellView:
    changed = replace(OVERVIEW, revision=13, **changes)  # type: ignore[arg-type]
    return replace(WELL, store_overview=changed)
