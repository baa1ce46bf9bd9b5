"""Run the packed program, and fail if it starts another process or cannot run."""

from __future__ import annotations

import runpy
import sys

PROCESS_EVENTS = frozenset(
    {
        "os.exec",
        "os.fork",
        "os.forkpty",
        "os.posix_spawn",
        "os.spawn",
        "os.system",
        "subprocess.Popen",
    }
)


def forbid_processes(event: str, arguments: tuple[object, ...]) -> None:
    """Audit hook: exit with an error if the program is about to start a process."""
    if event in PROCESS_EVENTS:
        raise SystemExit(f"the program started a process: {event} {arguments}")


if __name__ == "__main__":
    program, *sys.argv[1:] = sys.argv[1:]
    sys.argv[0] = program
    sys.addaudithook(forbid_processes)
    runpy.run_path(program, run_name="__main__")
