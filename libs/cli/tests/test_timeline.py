from __future__ import annotations

import io
from typing import TYPE_CHECKING

from fuchsiawell.cli.exit_status import ExitStatus
from fuchsiawell.cli.run import main
from fuchsiawell.core import LamportClock, ManualClock, open_event_log

if TYPE_CHECKING:
    from pathlib import Path

    import pytest


def write_logs(folder: Path) -> list[str]:
    clock = ManualClock()
    lamport = {name: LamportClock() for name in ("d1", "d2")}
    streams = {name: io.StringIO() for name in lamport}
    logs = {
        name: open_event_log(name, clock, lamport[name], stream=streams[name]) for name in lamport
    }
    logs["d1"].event("request forwarded", key="pen-7", request="r1")
    lamport["d2"].merge(lamport["d1"].tick())
    logs["d2"].warning("server timed out", server="s1", key="pen-7")
    logs["d2"].event("other", key="pen-8")
    files = []
    for name, stream in streams.items():
        file = folder / f"{name}.log"
        file.write_text(stream.getvalue() + "{broken\n")
        files.append(str(file))
    return files[::-1]


def test_logs_are_merged_into_one_time_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["timeline", *write_logs(tmp_path), "--key", "pen-7"]) == ExitStatus.OK
    printed = capsys.readouterr()
    first, second = printed.out.splitlines()
    assert first.endswith("d1           request forwarded key=pen-7 request=r1")
    assert second.endswith("d2           WARNING server timed out server=s1 key=pen-7")
    assert printed.err.count("not JSON") == 2


def test_as_json_prints_lines_as_logged(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    files = write_logs(tmp_path)
    assert main(["timeline", *files, "--as-json", "--daemon", "d1"]) == ExitStatus.OK
    assert capsys.readouterr().out in (tmp_path / "d1.log").read_text()


def test_invalid_time_missing_file_and_no_file_fail(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["timeline", *write_logs(tmp_path), "--since", "noon"]) == ExitStatus.FAILED
    assert main(["timeline", str(tmp_path / "none.log")]) == ExitStatus.FAILED
    assert "none.log: No such file" in capsys.readouterr().err
    assert main(["timeline"]) == ExitStatus.USAGE_ERROR
