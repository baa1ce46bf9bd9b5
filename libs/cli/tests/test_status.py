from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.cli.exit_status import Exit
from fuchsiawell.cli.run import main
from fuchsiawell.cli.status import read_numbers

if TYPE_CHECKING:
    import pytest


def test_labelled_series_are_added_up() -> None:
    text = 'fuchsiawell_answers_total{label="200"} 3\nfuchsiawell_answers_total{label="500"} 1\n'
    numbers = read_numbers("d", text + "nonsense\nfuchsiawell_backends 5\n")
    assert numbers.by_name == {"answers_total": 4.0, "backends": 5.0}


def test_a_daemon_that_cannot_be_reached_is_named(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["status", "nowhere"]) == Exit.REFUSED
    assert "nowhere" in capsys.readouterr().err
