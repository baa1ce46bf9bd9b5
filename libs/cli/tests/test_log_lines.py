from __future__ import annotations

import json
from datetime import UTC, datetime

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiawell.cli.log_lines import read_line, read_lines

LINE = {
    "level": "info",
    "event": "sent",
    "time": "2026-01-01T00:00:01+00:00",
    "lamport": 7,
    "process": "d1",
    "key": "pen-7",
}


def test_a_line_is_read_with_its_stamp_and_its_fields() -> None:
    line = read_line(json.dumps(LINE)).unwrap()
    assert (line.lamport, line.process, line.event) == (7, "d1", "sent")
    assert line.time == datetime(2026, 1, 1, 0, 0, 1, tzinfo=UTC)
    assert line.fields == {"key": "pen-7"}
    assert line.names("key", "pen-7")


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"lamport": -1}, "lamport"),
        ({"lamport": "7"}, "lamport"),
        ({"time": "yesterday"}, "time"),
        ({"time": 3}, "time"),
        ({"process": ""}, "process"),
    ],
)
def test_a_line_without_its_stamp_is_broken(changes: dict[str, object], reason: str) -> None:
    assert read_line(json.dumps(LINE | changes)).unwrap_err().startswith(reason)


def test_broken_lines_are_reported_with_their_place_and_the_rest_is_kept() -> None:
    whole = json.dumps(LINE)
    read = read_lines("d1.log", [whole, "", whole[:20], whole])
    assert len(read.lines) == 2
    assert [str(broken) for broken in read.broken] == [f"d1.log:3: not JSON: {whole[:20]!r}"]


@given(st.text(max_size=50) | st.sampled_from(["[" * 10_000, "1", "null", "[]", '"a"']))
def test_no_text_raises(text: str) -> None:
    read_line(text)
