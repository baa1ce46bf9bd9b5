"""Key ownership: shard maps, grant expiry and rebalancing; does no I/O and reads no clock."""

from __future__ import annotations

from fuchsiawell.shards.grant_expiry import GrantExpiryTracker, GrantTiming
from fuchsiawell.shards.key_rates import KeyCounter, KeyRates
from fuchsiawell.shards.key_work import KeyWork
from fuchsiawell.shards.latency_factors import LatencyFactors
from fuchsiawell.shards.past_granters import (
    UNKNOWN_GRANTER,
    UNKNOWN_OWNERS,
    PastGranters,
    decode_past_granters,
    encode_past_granters,
)
from fuchsiawell.shards.planner import Member, Move, initial_map, plan_moves
from fuchsiawell.shards.shard_map import (
    KEY_COUNT,
    Assignment,
    MapVersionError,
    Owner,
    ShardMap,
    decode_map,
    encode_map,
)

__all__ = [
    "KEY_COUNT",
    "UNKNOWN_GRANTER",
    "UNKNOWN_OWNERS",
    "Assignment",
    "GrantExpiryTracker",
    "GrantTiming",
    "KeyCounter",
    "KeyRates",
    "KeyWork",
    "LatencyFactors",
    "MapVersionError",
    "Member",
    "Move",
    "Owner",
    "PastGranters",
    "ShardMap",
    "decode_map",
    "decode_past_granters",
    "encode_map",
    "encode_past_granters",
    "initial_map",
    "plan_moves",
]
