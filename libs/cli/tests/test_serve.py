from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.cli.run import main

if TYPE_CHECKING:
    from pathlib import Path

    import pytest


def test_wrong_settings_are_listed_and_end_the_program(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "settings.json"
    path.write_text('{"daemon": "d1", "caller_address": "nowhere"}')
    assert main(["serve", str(path)]) == 1
    mistakes = capsys.readouterr().err
    assert "caller_address" in mistakes
    assert "peer_address" in mistakes
