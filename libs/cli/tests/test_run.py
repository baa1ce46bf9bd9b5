from __future__ import annotations

from pathlib import Path

import pytest

from fuchsiawell.adapter import PlatformRecords
from fuchsiawell.cli.exit_status import Exit
from fuchsiawell.cli.run import COMMANDS, main
from fuchsiawell.config import decode_configuration
from fuchsiawell.routing import Idempotency


@pytest.mark.parametrize("command", COMMANDS)
def test_each_command_explains_itself(command: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit, match="0"):
        main([command, "--help"])
    assert f"usage: fuchsiawell {command}" in capsys.readouterr().out


@pytest.mark.parametrize("arguments", [[], ["nothing"], ["export"], ["configure", "a", "b"]])
def test_wrong_usage_fails(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit, match=str(int(Exit.USAGE))):
        main(arguments)
    assert "usage: fuchsiawell" in capsys.readouterr().err


def test_export_refuses_a_wrong_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "configuration.json"
    file.write_text("{}")
    assert main(["export", str(file), "--host", "a.example"]) == Exit.REFUSED
    assert "decode configuration" in capsys.readouterr().err


@pytest.mark.parametrize("site", ["kilimanjaro", "viti-west"])
def test_an_exported_configuration_is_one_the_daemon_takes(
    site: str, capsys: pytest.CaptureFixture[str]
) -> None:
    file = Path(__file__).parents[3] / "examples" / site / "configuration.json"
    assert main(["export", str(file), "--host", "a.example"]) == Exit.DONE
    taken = PlatformRecords().configuration(capsys.readouterr().out.encode())
    own = decode_configuration(file.read_bytes(), "test").unwrap()
    for service in own.services_by_name.values():
        for kind in service.kinds_by_name.values():
            route = taken.find_route("a.example", f"/{service.name}/{kind.name}/x")
            assert route is not None
            assert (route.idempotency is Idempotency.IDEMPOTENT) == kind.repeatable


def test_serve_names_what_is_wrong_with_its_settings(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["serve", str(tmp_path / "missing.json")]) == Exit.REFUSED
    assert "missing.json" in capsys.readouterr().err
