from __future__ import annotations

import json
from pathlib import Path

import pytest

from fuchsiawell.cli.exit_status import ExitStatus
from fuchsiawell.cli.run import main

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("site", ["kilimanjaro", "viti-west"])
def test_configure_prints_the_committed_example_configuration(
    site: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["configure", str(EXAMPLES / site / "answers.json")]) == ExitStatus.OK
    assert capsys.readouterr().out == (EXAMPLES / site / "configuration.json").read_text()


def test_invalid_answers_are_printed_to_stderr_and_fail(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "answers.json"
    file.write_text("{}")
    assert main(["configure", str(file)]) == ExitStatus.FAILED
    printed = capsys.readouterr()
    assert printed.out == ""
    assert "site: not answered" in printed.err
    assert main(["configure", str(tmp_path / "none")]) == ExitStatus.FAILED
    assert "No such file" in capsys.readouterr().err


def test_questionnaire_prints_json(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["questionnaire"]) == ExitStatus.OK
    assert "services" in json.loads(capsys.readouterr().out)
