from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.cli.exit_status import ExitStatus
from fuchsiawell.cli.run import main
from fuchsiawell.cli.status import parse_metrics

if TYPE_CHECKING:
    import pytest


def test_series_with_different_labels_are_summed() -> None:
    text = 'fuchsiawell_answers_total{label="200"} 3\nfuchsiawell_answers_total{label="500"} 1\n'
    metrics = parse_metrics("d", text + "nonsense\nfuchsiawell_backends 5\n")
    assert metrics.by_name == {"answers_total": 4.0, "backends": 5.0}


def test_invalid_daemon_address_is_named_in_error(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["status", "nowhere"]) == ExitStatus.FAILED
    assert "nowhere" in capsys.readouterr().err
