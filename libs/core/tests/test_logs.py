"""Lines of the log are JSON of bounded length."""

from __future__ import annotations

import io
import json

from fuchsiawell.core import LamportClock, ManualClock, open_event_log
from fuchsiawell.core.logs import MAX_LINE_CHARACTERS


# Guards against a line of a megabyte for one odd entry in the store.
def test_long_fields_are_shortened() -> None:
    stream = io.StringIO()
    log = open_event_log("d-1", ManualClock(0.0), LamportClock(), stream=stream)
    values = {
        "text": "x" * 1_000_000,
        "texts": ["y" * 1_000_000],
        "bytes_": b"\xff" * 1_000_000,
        "short": "z",
        "rows": [1, None],
    }
    log.event("odd entry", **values)
    (line,) = stream.getvalue().splitlines()
    assert len(line) <= MAX_LINE_CHARACTERS
    fields = json.loads(line)
    assert fields["text"].startswith("xxx")
    assert "1000000 characters" in fields["text"]
    assert (fields["event"], fields["short"], fields["rows"]) == ("odd entry", "z", [1, None])
