from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.core import ManualClock
from fuchsiawell.standins.backend import Ending, Execution, ExecutionLog, read_executions

if TYPE_CHECKING:
    from pathlib import Path


def _execution(request: str) -> Execution:
    return Execution(0, "pw-1", request, None, "/a/b/c", None, None, None, 0, 0.0)


def test_the_file_holds_the_executions_of_every_run_of_a_server(tmp_path: Path) -> None:
    file = tmp_path / "pw-1.jsonl"
    clock = ManualClock(5.0)
    killed = ExecutionLog(clock, file)
    killed.end(killed.start(_execution("r1")), Ending.DONE)
    killed.start(_execution("r2"))
    clock.advance(1.0)
    restarted = ExecutionLog(clock, file)
    restarted.end(restarted.start(_execution("r3")), Ending.CANCELLED)
    restarted.close()
    found = [(run.number, run.request, run.ending) for run in read_executions(file)]
    assert found == [
        (1, "r1", Ending.DONE),
        (2, "r2", Ending.RUNNING),
        (1, "r3", Ending.CANCELLED),
    ]
    assert killed.all()[0].ended_at_s == 5.0
