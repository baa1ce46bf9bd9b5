from __future__ import annotations

from dataclasses import replace

from cell_views import SERVICE, WELL, with_overview

from fuchsiawell.cli.cell_view import CellView, Unreachable
from fuchsiawell.cli.status_page import status_page


def test_the_verdict_comes_first() -> None:
    assert status_page(WELL).startswith("All is well. Nothing to do.\n\n")
    lost = replace(WELL, unreachable=(Unreachable("ask", "127.0.0.1:1", "timeout"),))
    assert status_page(lost).startswith("The service goes on. Nothing to do at once.\n  - The d")
    refused = with_overview(services=[replace(SERVICE, unassigned=5)])
    assert status_page(refused).startswith("SOMETHING TO DO")


def test_owners_leaders_terms_versions_and_daemons_are_listed() -> None:
    page = status_page(WELL)
    assert "Configuration version 2 is the newest seen." in page
    assert "assignment revision 12, controller d1 in term 3, members d1, d2, d3" in page
    assert "s1      penwatch  vuda  active  d1      4     128     yes" in page
    assert "d2      vuda  yes   2      0      2       answers  0          -" in page


def test_nothing_learned_is_a_page_too() -> None:
    assert "Configuration version none" in status_page(CellView())
