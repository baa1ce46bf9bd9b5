from __future__ import annotations

from dataclasses import replace

import pytest
from cell_views import SERVER, SERVICE, WELL, daemon, with_overview

from fuchsiawell.cli.cell_view import CellView, Unreachable
from fuchsiawell.cli.concerns import Urgency, concerns

SILENT = Unreachable("get", "127.0.0.1:1", "timeout")


def with_daemons(**changes: object) -> CellView:
    return replace(WELL, daemons=(daemon("d1", **changes), *WELL.daemons[1:]))


def test_a_cell_that_is_well_raises_no_concern() -> None:
    assert concerns(WELL) == []


@pytest.mark.parametrize(
    ("view", "urgency", "words"),
    [
        (replace(WELL, unreachable=(SILENT,)), Urgency.LATER, "does not answer"),
        (replace(WELL, asked_store=True, store_failure=SILENT), Urgency.LATER, "store could not"),
        (replace(WELL, asked_store=True), Urgency.NOW, "No configuration is in force"),
        (with_daemons(store_answers=False), Urgency.LATER, "does not answer d1"),
        (with_daemons(from_store=False), Urgency.LATER, "what d1 took from peers"),
        (with_daemons(configuration_version=1), Urgency.NONE, "Not at configuration version 2"),
        (with_daemons(has_right=False), Urgency.LATER, "Cut off from most of the cell: d1"),
        (with_daemons(heard=("d2",)), Urgency.LATER, "Member d3 is not heard by 1 of the 3"),
        (
            with_overview(services=[replace(SERVICE, unassigned=5)]),
            Urgency.NOW,
            "5 of 128 shards of penwatch have no server",
        ),
        (with_overview(services=[replace(SERVICE, moving=5)]), Urgency.NONE, "on the move"),
        (with_overview(servers=[replace(SERVER, state="lost")]), Urgency.LATER, "s1"),
        (with_overview(servers=[replace(SERVER, state="draining")]), Urgency.NONE, "is leaving"),
        (with_overview(servers=[replace(SERVER, leader=None)]), Urgency.NOW, "Nobody leads"),
    ],
)
def test_each_fault_raises_its_concern_and_no_other(
    view: CellView, urgency: Urgency, words: str
) -> None:
    (found,) = concerns(view)
    assert found.urgency is urgency
    assert words in str(found)


def test_a_cell_without_an_assignment_is_told_what_it_waits_for() -> None:
    view = replace(WELL, daemons=(daemon("d1", overview=None, has_right=False, members=()),))
    (found,) = concerns(view)
    assert found.urgency is Urgency.NOW
    assert "host list names" in found.advice


def test_a_cell_without_a_majority_needs_someone_at_once() -> None:
    view = replace(WELL, daemons=(daemon("d1", has_right=False, heard=()),))
    assert concerns(view)[0].urgency is Urgency.NOW
    assert "more than half" in concerns(view)[0].advice
