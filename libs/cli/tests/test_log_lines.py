from __future__ import annotations

import json
from datetime import UTC, datetime

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiawell.cli.log_lines import parse_line, parse_lines

LINE = {
    "level": "info",
    "event": "sent",
    "time": "2026-01-01T00:00:01+00:00",
    "lamport": 7,
    "process": "d1",
    "key": "pen-7",
}


def test_line_is_parsed_with_stamp_and_fields() -> None:
    line = parse_line(json.dumps(LINE)).unwrap()
    assert (line.lamport, line.process, line.event) == (7, "d1", "sent")
    assert line.time == datetime(2026, 1, 1, 0, 0, 1, tzinfo=UTC)
    assert line.fields == {"key": "pen-7"}
    assert line.has_value("key", "pen-7")


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
def test_line_with_invalid_stamp_is_malformed(changes: dict[str, object], reason: str) -> None:
    assert parse_line(json.dumps(LINE | changes)).unwrap_err().startswith(reason)


def test_malformed_line_is_reported_with_its_number_and_others_are_kept() -> None:
    valid = json.dumps(LINE)
    parsed = parse_lines("d1.log", [valid, "", valid[:20], valid])
    assert len(parsed.lines) == 2
    assert [str(line) for line in parsed.malformed] == [f"d1.log:3: not JSON: {valid[:20]!r}"]


@given(st.text(max_size=50) | st.sampled_from(["[" * 10_000, "1", "null", "[]", '"a"']))
def test_arbitrary_text_never_raises(text: str) -> None:
    parse_line(text)
