"""Processor time of processes, as the kernel counts it."""

from __future__ import annotations

import os
from pathlib import Path

__all__ = ["cpu_s", "resident_bytes"]

USER_FIELD = 11  # after the process's name, in /proc/<pid>/stat; system time follows it
RESIDENT_FIELD = 1  # in /proc/<pid>/statm, in pages


def cpu_s(pid: int) -> float:
    """Return the seconds of user and system time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_FIELD]) + int(fields[USER_FIELD + 1])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the memory that a process holds."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[RESIDENT_FIELD])
    return pages * os.sysconf("SC_PAGE_SIZE")
