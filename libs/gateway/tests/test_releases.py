"""Daemons of this release and of earlier ones read what the others write, while both run.

The data in `golden/` was written by the code of the release that it is named after.
"""

from __future__ import annotations

import json
import typing
from pathlib import Path
from typing import Any

import pytest

from fuchsiawell.gateway.control.change_frames import Frame, _decode
from fuchsiawell.gateway.control.peer_messages import Message, decode_message
from fuchsiawell.gateway.control.store_keys import DAEMONS_PREFIX, decode_peer
from fuchsiawell.gateway.execute.relay_messages import RELAY_FIELD, decode_order, decode_reply
from fuchsiawell.shards import decode_map, decode_past_granters

from message_samples import FRAMES, MESSAGES, RECORDS, RELAY_FIELDS, encoded_samples

GOLDEN = Path(__file__).parent / "golden"
RELEASES = sorted(path.stem for path in GOLDEN.glob("*.json"))
SAMPLES: dict[str, dict[str, Any]] = {
    "messages": MESSAGES,
    "frames": FRAMES,
    "relay fields": RELAY_FIELDS,
    "records": RECORDS,
}
LENGTH_PREFIX_BYTES = 4
NEWEST_RELEASE = "7003d49"
# Kinds that this release writes and the newest one with golden data does not know.
ADDED_KINDS: dict[str, set[str]] = {
    "messages": {"assignment replica", "replica ack"},
}


def golden(release: str) -> dict[str, dict[str, str]]:
    data: dict[str, dict[str, str]] = json.loads((GOLDEN / f"{release}.json").read_text())
    return data


def decode(group: str, kind: str, data: bytes) -> Any:
    match group, kind:
        case "messages", _:
            return decode_message(data)[2]
        case "frames", _:
            return _decode(data[LENGTH_PREFIX_BYTES:])
        case "relay fields", "order":
            return decode_order([(RELAY_FIELD, data.partition(b": ")[2])])
        case "relay fields", _:
            return decode_reply([(RELAY_FIELD, data.partition(b": ")[2])])
        case _, "daemon":
            return decode_peer(DAEMONS_PREFIX + SAMPLES[group][kind].name, data)
        case _, "past granters":
            return decode_past_granters(data)
        case _:
            return decode_map(data)


# Guards against a release that cannot read what the daemons that it replaces write.
@pytest.mark.parametrize("release", RELEASES)
def test_what_an_earlier_release_writes_is_read(release: str) -> None:
    for group, data_by_kind in golden(release).items():
        for kind, data in data_by_kind.items():
            assert decode(group, kind, bytes.fromhex(data)) == SAMPLES[group][kind], (group, kind)


# Guards against a release whose rows the daemons that it replaces drop as malformed: they read rows
# of just the fields that they write.
@pytest.mark.parametrize("release", RELEASES)
def test_what_this_release_writes_is_what_an_earlier_one_writes(release: str) -> None:
    today = encoded_samples()
    for group, data_by_kind in golden(release).items():
        for kind, data in data_by_kind.items():
            assert today[group][kind].hex() == data, (group, kind)


# Guards against a kind of message that no golden data covers.
def test_there_is_a_sample_of_each_kind() -> None:
    for group, union in (("messages", Message), ("frames", Frame)):
        kinds = {type(sample) for sample in SAMPLES[group].values()}
        assert kinds == set(typing.get_args(union)), group
    newest = golden(NEWEST_RELEASE)
    assert {
        group: set(kinds) | ADDED_KINDS.get(group, set()) for group, kinds in newest.items()
    } == {group: set(samples) for group, samples in SAMPLES.items()}
    for group, added in ADDED_KINDS.items():
        assert not added & set(newest[group]), group


# Guards against one unreadable datagram or frame of another release that ends a daemon's loop.
@pytest.mark.parametrize("release", RELEASES)
def test_longer_and_shorter_rows_are_refused_as_malformed(release: str) -> None:
    for data in golden(release)["messages"].values():
        row = bytes.fromhex(data)
        for changed in (row[:-1], bytes([row[0] + 1]) + row[1:] + b"\xc0"):
            with pytest.raises(ValueError, match="malformed message"):
                decode_message(changed)
