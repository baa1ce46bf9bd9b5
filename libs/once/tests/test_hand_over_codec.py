from __future__ import annotations

import msgpack
import pytest

from fuchsiawell.core import NotRunReason, ServiceName, ShardId
from fuchsiawell.once.hand_over_codec import (
    MAX_BODY_BYTES,
    HandOverFormatError,
    hand_over_from_wire,
    hand_over_to_wire,
)
from fuchsiawell.once.minted import Tenure
from fuchsiawell.once.records import (
    FoundIntent,
    HandedRecord,
    HandedScope,
    HandOver,
    KeptAnswer,
    RecordState,
    Scope,
)

SHARD = ShardId(ServiceName("dropline"), 3)


def record(
    state: RecordState, answer: KeptAnswer | None = None, refused: NotRunReason | None = None
) -> HandedRecord:
    return HandedRecord(b"i" * 16, SHARD, "pen-4", b"c" * 8, b"", 9.5, state, answer, refused)


def test_a_hand_over_survives_the_wire_but_for_bodies_without_room() -> None:
    small = KeptAnswer(200, ((b"a", b"b"),), b"x")
    large = KeptAnswer(200, (), b"x" * MAX_BODY_BYTES)
    refused = record(RecordState.NOT_RUN, refused=NotRunReason.SHED)
    records = (record(RecordState.ANSWERED, small), refused, record(RecordState.ANSWERED, large))
    given = HandOver(
        (HandedScope(Scope(SHARD, "pen-4"), (Tenure(b"n" * 8, 7, b"s" * 32, 1.5),), 3.0),),
        records,
        (FoundIntent(b"i" * 16, b"c" * 8, b"p" * 8, 600.0),),
        12.25,
    )
    sent = hand_over_from_wire(msgpack.unpackb(msgpack.packb(hand_over_to_wire(given))), "a")
    assert (sent.scopes, sent.found, sent.sent_s) == (given.scopes, given.found, given.sent_s)
    assert sent.records == (*records[:2], record(RecordState.ANSWERED))


def test_other_messages_are_refused() -> None:
    for fields in ([], [1, 2, 3, 4], [[], [[1]], [], 0.0]):
        with pytest.raises(HandOverFormatError):
            hand_over_from_wire(fields, "a")
