"""Exit statuses of the commands."""

from __future__ import annotations

import sys
from enum import IntEnum, unique

__all__ = ["ExitStatus", "fail"]


@unique
class ExitStatus(IntEnum):
    OK = 0
    FAILED = 1  # nothing was changed
    USAGE_ERROR = 2  # also what the argument parser exits with
    OUTCOME_UNKNOWN = 3  # a write may or may not have taken effect


def fail(message: object, status: ExitStatus = ExitStatus.FAILED) -> ExitStatus:
    """Print `message` to standard error and return `status`."""
    print(message, file=sys.stderr)
    return status
