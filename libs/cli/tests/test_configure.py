from __future__ import annotations

import json
from pathlib import Path

import pytest

from fuchsiawell.cli.exit_status import Exit
from fuchsiawell.cli.run import main

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("site", ["kilimanjaro", "viti-west"])
def test_the_committed_configuration_is_what_configure_prints(
    site: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["configure", str(EXAMPLES / site / "answers.json")]) == Exit.DONE
    assert capsys.readouterr().out == (EXAMPLES / site / "configuration.json").read_text()


def test_mistakes_go_to_standard_error_and_fail(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "answers.json"
    file.write_text("{}")
    assert main(["configure", str(file)]) == Exit.REFUSED
    printed = capsys.readouterr()
    assert printed.out == ""
    assert "site: not answered" in printed.err
    assert main(["configure", str(tmp_path / "none")]) == Exit.REFUSED
    assert "No such file" in capsys.readouterr().err


def test_the_questionnaire_is_json(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["questionnaire"]) == Exit.DONE
    assert "services" in json.loads(capsys.readouterr().out)
