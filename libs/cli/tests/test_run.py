from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from fuchsiawell.cli.exits import Exit
from fuchsiawell.cli.run import COMMANDS, main

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize("command", COMMANDS)
def test_each_command_explains_itself(command: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit, match="0"):
        main([command, "--help"])
    assert f"usage: fuchsiawell {command}" in capsys.readouterr().out


@pytest.mark.parametrize("arguments", [[], ["nothing"], ["accept"], ["configure", "a", "b"]])
def test_wrong_usage_fails(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit, match=str(int(Exit.USAGE))):
        main(arguments)
    assert "usage: fuchsiawell" in capsys.readouterr().err


def test_accept_refuses_a_wrong_file_and_a_wrong_url(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "configuration.json"
    file.write_text("{}")
    assert main(["accept", str(file), "--store", "http://127.0.0.1:1"]) == Exit.REFUSED
    assert "decode configuration" in capsys.readouterr().err
    assert main(["accept", str(file), "--store", "store:1"]) == Exit.REFUSED
    assert "is not a URL" in capsys.readouterr().err
