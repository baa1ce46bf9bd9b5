from __future__ import annotations

from pathlib import Path

import pytest

from fuchsiawell.adapter import PlatformRecordDecoder
from fuchsiawell.cli.exit_status import ExitStatus
from fuchsiawell.cli.run import COMMANDS, main
from fuchsiawell.config import decode_configuration
from fuchsiawell.routing import Idempotency


@pytest.mark.parametrize("command", COMMANDS)
def test_each_command_has_help(command: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit, match="0"):
        main([command, "--help"])
    assert f"usage: fuchsiawell {command}" in capsys.readouterr().out


@pytest.mark.parametrize("arguments", [[], ["nothing"], ["export"], ["configure", "a", "b"]])
def test_wrong_usage_exits_with_usage_error(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit, match=str(int(ExitStatus.USAGE_ERROR))):
        main(arguments)
    assert "usage: fuchsiawell" in capsys.readouterr().err


def test_export_of_invalid_configuration_fails(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "configuration.json"
    file.write_text("{}")
    assert main(["export", str(file), "--host", "a.example"]) == ExitStatus.FAILED
    assert "decode configuration" in capsys.readouterr().err


@pytest.mark.parametrize("site", ["kilimanjaro", "viti-west"])
def test_daemon_accepts_exported_configuration_with_same_idempotency(
    site: str, capsys: pytest.CaptureFixture[str]
) -> None:
    file = Path(__file__).parents[3] / "examples" / site / "configuration.json"
    assert main(["export", str(file), "--host", "a.example"]) == ExitStatus.OK
    exported = PlatformRecordDecoder().decode_configuration(capsys.readouterr().out.encode())
    original = decode_configuration(file.read_bytes(), "test").unwrap()
    for service in original.services_by_name.values():
        for kind in service.kinds_by_name.values():
            route = exported.find_route("a.example", f"/{service.name}/{kind.name}/x")
            assert route is not None
            assert (route.idempotency is Idempotency.IDEMPOTENT) == kind.repeatable


def test_serve_with_missing_settings_file_names_it(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["serve", str(tmp_path / "missing.json")]) == ExitStatus.FAILED
    assert "missing.json" in capsys.readouterr().err
