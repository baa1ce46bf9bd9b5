"""The field with which daemons tell each other of requests that one sends through another."""

from __future__ import annotations

import json

import pytest

from fuchsiawell.gateway.execute.relay_messages import (
    RELAY_FIELD,
    RelayAnswer,
    RelayOrder,
    RelayReply,
    decode_order,
    decode_reply,
    encode_message,
    without_private_fields,
)
from fuchsiawell.httpio import RequestHead

ORDER = RelayOrder(3, 4, "s\u00e9\r\nx: y", 2, 15, counted=True, attempted=("i-1", "i-2"))
REPLY = RelayReply(RelayAnswer.REFUSED, 4, "why\n", 250, "i-1", "i-1/7", ("i-1",))


def test_messages_are_decoded_as_they_were_encoded() -> None:
    assert decode_order([encode_message(ORDER)]) == ORDER
    assert decode_reply([encode_message(REPLY)]) == REPLY
    assert decode_reply([encode_message(RelayReply(RelayAnswer.SERVED, 0))]).retry_after_ms is None


# Guards against a response that cannot be sent because a reason has a line break or is too long.
def test_values_fit_a_header_field() -> None:
    for message in (ORDER, REPLY, RelayReply(RelayAnswer.REFUSED, 1, "\u00e9" * 100_000)):
        name, value = encode_message(message)
        assert name == RELAY_FIELD
        assert len(value) < 2000
        assert all(0x20 <= byte < 0x7F for byte in value)


# Guards against a lost connection in place of an answer to a field that no daemon sends.
@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{",
        b"[]",
        b"7",
        b"\xff",
        b"{}",
        b"[" * 100_000,
        b'{"version":' + b"9" * 5000 + b"}",
        b'{"version":-1,"min_version":1,"max_attempts":1,"age_ms":1}',
        b'{"version":1,"min_version":1,"max_attempts":1,"age_ms":1e400}',
        b'{"version":1,"min_version":1,"max_attempts":1,"age_ms":1,"service":[]}',
        b'{"version":1,"min_version":1,"max_attempts":1,"age_ms":1,"attempted":[1]}',
        b'{"version":1,"answer":"other"}',
        b'{"version":1,"answer":["served"]}',
    ],
)
def test_invalid_values_are_refused(value: bytes) -> None:
    for decode in (decode_order, decode_reply):
        with pytest.raises(ValueError):
            decode([(RELAY_FIELD, value)])
        with pytest.raises(ValueError):
            decode([])


# Guards against daemons of later releases whose field has more in it.
def test_unknown_parts_are_ignored() -> None:
    name, value = encode_message(ORDER)
    assert decode_order([(name, json.dumps({**json.loads(value), "new": 1}).encode())]) == ORDER


def test_private_field_is_removed_however_often_it_is_given() -> None:
    head = RequestHead(b"GET", b"/", [(RELAY_FIELD, b"a"), (b"x", b"1"), (RELAY_FIELD, b"b")])
    assert without_private_fields(head).fields == [(b"x", b"1")]
