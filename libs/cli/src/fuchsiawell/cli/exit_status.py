"""How a command ends, as its exit status."""

from __future__ import annotations

import sys
from enum import IntEnum, unique

__all__ = ["Exit", "fail"]


@unique
class Exit(IntEnum):
    """Name the exit statuses; 2 is the argument parser's for wrong usage."""

    DONE = 0
    REFUSED = 1  # nothing was changed
    USAGE = 2
    UNKNOWN = 3  # a write may or may not have taken effect


def fail(message: object, status: Exit = Exit.REFUSED) -> Exit:
    """Print `message` to standard error and return `status`."""
    print(message, file=sys.stderr)
    return status
