"""A malformed datagram must raise ValueError, the only error at which the receiver drops it."""

from __future__ import annotations

import msgpack
import pytest

from fuchsiawell.gateway.control.peer_messages import (
    BlockedRanges,
    CrashReport,
    GroupLoadReport,
    KeyCountReport,
    LoadReport,
    PermitReply,
    PermitRequest,
    PermitStatus,
    RateLimitReport,
    ShardMapUpdate,
    SuspicionCleared,
    TermReport,
    TotalLoadReport,
    decode_message,
    encode_message,
)
from fuchsiawell.shards import Assignment, Owner

OWNER = Owner("i-1", 5, "10.0.0.1", 80)
MESSAGES = [
    LoadReport({7: 2}, {"s": 3}),
    GroupLoadReport({7: 2}),
    TotalLoadReport({7: 2, 8: 1}),
    TermReport({"s": 3}),
    KeyCountReport("s", {64347: 12}, {7: 150}),
    BlockedRanges("s", [(0, 99), (200, 300)]),
    ShardMapUpdate("s", 3, 50, [Assignment(0, 99, 49, OWNER), Assignment(100, 200, 48, None)]),
    CrashReport(1234, "i-1/5"),
    SuspicionCleared(1234),
    RateLimitReport("i-1", "i-1/5", 1.5, 20),
    RateLimitReport("i-1", "i-1/5", None, 0),
    PermitRequest(7, RateLimitReport("i-1", "i-1/5", 0.0, 20), 1, 300, 0),
    PermitReply(7, PermitStatus.DENIED, 250, RateLimitReport("i-1", "i-1/5", 0.5, 20)),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_message_decodes_to_the_original(message: object) -> None:
    assert decode_message(encode_message("d-1", 9, message)) == ("d-1", 9, message)


@pytest.mark.parametrize(
    "data",
    [b"", b"\x93", b"junk", b"\x90", b"\x93\xa1d\x01\xa1?", b"\x94\xa1d\x01\xa1p\x01", b"\x80"],
)
def test_malformed_message_raises_value_error(data: bytes) -> None:
    with pytest.raises(ValueError, match="message"):
        decode_message(data)


@pytest.mark.parametrize("rate_per_s", [-1.0, float("nan"), float("inf"), "2", True])
def test_rate_limit_that_is_no_number_of_requests_is_malformed(rate_per_s: object) -> None:
    data = msgpack.packb(["d-1", 9, "s", "i-1", "i-1/5", rate_per_s, 20])
    with pytest.raises(ValueError, match="message"):
        decode_message(data)
