"""Fields that datagrams of several kinds have, and how they are read."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["MAX_ERA", "MAX_NUMBER", "PermitStatus", "decode_number", "decode_text"]

# Larger numbers are malformed: sums of them must fit into 64 bits.
MAX_NUMBER = 2**62
# Eras of the store may have any number; they are only compared.
MAX_ERA = 2**63 - 1


class PermitStatus(StrEnum):
    """State of a request for a permit."""

    GRANTED = "granted"
    DENIED = "denied"
    # A decision follows in time.
    QUEUED = "queued"


def decode_text(value: object) -> str:
    """Return a text; raises ValueError for anything else."""
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is no text")
    return value


def decode_number(value: object, maximum: int = MAX_NUMBER) -> int:
    """Return a whole number from 0 to `maximum`; raises ValueError for anything else."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= maximum:
        raise ValueError(f"{value!r} is no number in range")
    return value
