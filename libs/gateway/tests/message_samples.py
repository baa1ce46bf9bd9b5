"""One message of each kind that daemons of two releases may send each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from fuchsiawell.gateway.control import change_frames as frames
from fuchsiawell.gateway.control import pace_messages as paces
from fuchsiawell.gateway.control import peer_messages as messages
from fuchsiawell.gateway.control import queue_messages as queues
from fuchsiawell.gateway.control.store_keys import encode_peer
from fuchsiawell.gateway.execute import relay_messages as relays
from fuchsiawell.gateway.ports import Item, StoreChanges
from fuchsiawell.gateway.session.state import Peer
from fuchsiawell.shards import (
    Assignment,
    Owner,
    PastGranters,
    ShardMap,
    encode_map,
    encode_past_granters,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["FRAMES", "MESSAGES", "RECORDS", "RELAY_FIELDS", "encoded_samples"]

Sample = TypeVar("Sample")
OWNER = Owner("i-1", 1700000000000, "10.1.0.9", 8080)
ASSIGNMENTS = (Assignment(0, 99, 7, OWNER), Assignment(100, 65535, 8, None))
LIMIT = messages.RateLimitReport("i-1", "i-1/1700000000000", 12.5, 40)

MESSAGES: dict[str, messages.Message] = {
    "load": messages.LoadReport({7: 2}, {"s": 3}),
    "group load": messages.GroupLoadReport({7: 2}),
    "total load": messages.TotalLoadReport({7: 2}),
    "terms": messages.TermReport({"s": 3}),
    "key counts": messages.KeyCountReport("s", {65535: 4}, {7: 150}),
    "blocked ranges": messages.BlockedRanges("s", [(0, 99)]),
    "shard map update": messages.ShardMapUpdate("s", 3, 9, list(ASSIGNMENTS)),
    "crash": messages.CrashReport(4711, "i-1/1700000000000"),
    "suspicion cleared": messages.SuspicionCleared(4711),
    "rate limit": LIMIT,
    "end of a rate limit": messages.RateLimitReport("i-1", "i-1/1700000000000", None, 0),
    "permit request": messages.PermitRequest(5, LIMIT, 1, 300, 0),
    "permit reply": messages.PermitReply(5, messages.PermitStatus.DENIED, 250, LIMIT),
    "server leaving": messages.ServerLeavingReport("i-1", "i-1/1700000000000"),
    "cold permit request": messages.ColdPermitRequest(
        5, "i-1", "i-1/1700000000000", 4.0, 1, 300, 0
    ),
    "cold permit reply": messages.ColdPermitReply(5, messages.PermitStatus.GRANTED, 0),
    "server cold": messages.ServerColdReport("i-1", "i-1/1700000000000", 2900),
    "queued work": queues.QueuedWorkReport({7: [0, 880]}),
    "group queued work": queues.GroupQueuedWorkReport({7: [150, 1760]}),
    "total queued work": queues.TotalQueuedWorkReport({7: [150, 1760], 9: [0, 3520]}),
    "paces": paces.PaceReport({7: (150, 3)}),
    "group paces": paces.GroupPaceReport({7: (150, 12)}),
    "total paces": paces.TotalPaceReport({7: (150, 40)}),
    "map request": messages.MapRequest("s", 8),
    "map reply": messages.MapReply("s", list(ASSIGNMENTS)),
    "witness request": messages.WitnessRequest("s", 3, 8),
    "witness reply": messages.WitnessReply("s", 2),
    "assignment replica": messages.AssignmentReplica("s", 2, 3, 4, list(ASSIGNMENTS)),
    "replica ack": messages.ReplicaAck("s", 3, 4),
}
FRAMES: dict[str, frames.Frame] = {
    "follow": frames.Follow("d-1", 12),
    "follow in era": frames.FollowInEra("d-1", 12, 2),
    "poll": frames.Poll(1.5),
    "confirmation": frames.Confirmation(1.5, 0.25),
    "keep-alive": frames.KeepAlive(),
    "gap": frames.Gap(),
    "recall": frames.Recall("d-1", 7),
    "recalled": frames.Recalled(8, b"{}", {"i-1/5": 700}, {"i-2/6": 900}, {"b": 40}),
    "changes": StoreChanges([Item("a", b"v", 13, 5), Item("b", None, 14, 0)], 14),
}
RELAY_FIELDS: dict[str, relays.RelayOrder | relays.RelayReply] = {
    "order": relays.RelayOrder(12, 11, "s", 2, 150, True, ("i-2",)),
    "reply": relays.RelayReply(
        relays.RelayAnswer.SERVED, 12, "", None, "i-1", "i-1/1700000000000", ("i-2", "i-1")
    ),
    "refusal": relays.RelayReply(relays.RelayAnswer.OUTDATED, 11, "older", 200),
}
RECORDS: dict[str, Peer | ShardMap | PastGranters] = {
    "daemon": Peer("d-1", "start-1", "10.1.0.15", 7620, "z1", 0.43),
    "shard map": ShardMap("s", "d-1", 3, 9, ASSIGNMENTS),
    "past granters": PastGranters(3, {"d-1": 12.0, "d-2": 3.5}),
}


def encoded_samples() -> dict[str, dict[str, bytes]]:
    """Return the bytes of all samples by group and kind."""
    return {
        "messages": _encoded(MESSAGES, lambda m: messages.encode_message("d-1", 6, m)),
        "frames": _encoded(FRAMES, frames.encode_frame),
        "relay fields": _encoded(RELAY_FIELDS, lambda m: b": ".join(relays.encode_message(m))),
        "records": _encoded(RECORDS, _encode_record),
    }


def _encode_record(record: Peer | ShardMap | PastGranters) -> bytes:
    match record:
        case Peer():
            return encode_peer(record)
        case ShardMap():
            return encode_map(record)
        case PastGranters():
            return encode_past_granters(record)


def _encoded(samples: dict[str, Sample], encode: Callable[[Sample], bytes]) -> dict[str, bytes]:
    return {kind: encode(sample) for kind, sample in samples.items()}
