"""Who owns each shard, who leads each server, and how that changes."""

from __future__ import annotations

from fuchsiawell.ownership.assignment import (
    FIRST_PIN_INDEX,
    Assignment,
    Route,
    ServerRecord,
    ServerState,
    ShardRecord,
    ShardState,
)
from fuchsiawell.ownership.codec import (
    AssignmentFormatError,
    decode_assignment,
    encode_assignment,
)

__all__ = [
    "FIRST_PIN_INDEX",
    "Assignment",
    "AssignmentFormatError",
    "Route",
    "ServerRecord",
    "ServerState",
    "ShardRecord",
    "ShardState",
    "decode_assignment",
    "encode_assignment",
]
