from __future__ import annotations

import pytest

from fuchsiawell.cli.exits import Exit
from fuchsiawell.cli.run import main


@pytest.mark.parametrize(
    ("arguments", "status", "words"),
    [
        ([], Exit.USAGE, "needs --operator, --store"),
        (["--store", "http://127.0.0.1:1"], Exit.USAGE, "needs --cell"),
        (["--operator", "here"], Exit.REFUSED, "is not an IP number and a port"),
        (["--operator", "127.0.0.1:1"], Exit.REFUSED, "nobody answered"),
        (["--store", "http://127.0.0.1:1", "--cell", "a"], Exit.REFUSED, "nobody answered"),
    ],
)
def test_status_without_an_answer_fails(
    arguments: list[str], status: Exit, words: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["status", *arguments]) == status
    assert words in capsys.readouterr().err
