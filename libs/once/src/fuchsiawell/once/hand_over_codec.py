"""Hand-overs as msgpack arrays, for control messages between daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from fuchsiawell.core import FuchsiawellError, NotRunReason, ServiceName, ShardId
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

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["HandOverFormatError", "hand_over_from_wire", "hand_over_to_wire"]

MAX_BODY_BYTES = 256_000  # of kept answers; later ones are handed over without their body


class HandOverFormatError(FuchsiawellError):
    """Report a message that is not a hand-over."""


def hand_over_to_wire(given: HandOver) -> list[Any]:
    """Return the hand-over as plain lists; answers beyond a bound travel without their body."""
    room = MAX_BODY_BYTES
    records: list[list[Any]] = []
    for record in given.records:
        answer = record.answer
        if answer is not None:
            room -= answer.size
        records.append(_record_to_wire(record, answer if room >= 0 else None))
    return [
        [_scope_to_wire(held) for held in given.scopes],
        records,
        [[i.identity, i.content, i.place, i.resend_window_s] for i in given.found],
        given.sent_s,
    ]


def hand_over_from_wire(fields: Sequence[Any], peer: str) -> HandOver:
    """Return the hand-over that `peer` sent, or raise `HandOverFormatError`."""
    try:
        scopes, records, found, sent_s = fields
        return HandOver(
            tuple(_scope_from_wire(*scope) for scope in scopes),
            tuple(_record_from_wire(*record) for record in records),
            tuple(FoundIntent(*intent) for intent in found),
            sent_s,
        )
    except (TypeError, ValueError, KeyError) as error:
        raise HandOverFormatError("read hand-over", peer, str(error)) from error


def _scope_to_wire(held: HandedScope) -> list[Any]:
    tenures = [[t.nonce, t.number, t.secret, t.offset_s] for t in held.tenures]
    shard = held.scope.shard
    return [shard.service, shard.index, held.scope.key, tenures, held.unjournaled_for_s]


def _scope_from_wire(
    service: str, index: int, key: str | None, tenures: list[Any], unjournaled_for_s: float
) -> HandedScope:
    scope = Scope(ShardId(ServiceName(service), index), key)
    return HandedScope(scope, tuple(Tenure(*tenure) for tenure in tenures), unjournaled_for_s)


def _record_to_wire(record: HandedRecord, answer: KeptAnswer | None) -> list[Any]:
    return [
        record.identity,
        record.shard.service,
        record.shard.index,
        record.key,
        record.content,
        record.caller,
        record.expires_in_s,
        record.state.name,
        None if answer is None else [answer.status, answer.headers, answer.body],
        record.refused,
    ]


def _record_from_wire(
    identity: bytes,
    service: str,
    index: int,
    key: str,
    content: bytes,
    caller: bytes,
    expires_in_s: float,
    state: str,
    answer: list[Any] | None,
    refused: str | None,
) -> HandedRecord:
    return HandedRecord(
        identity,
        ShardId(ServiceName(service), index),
        key,
        content,
        caller,
        expires_in_s,
        RecordState[state],
        None if answer is None else _answer(*answer),
        None if refused is None else NotRunReason(refused),
    )


def _answer(status: int, headers: list[list[bytes]], body: bytes) -> KeptAnswer:
    return KeptAnswer(status, tuple((name, value) for name, value in headers), body)
