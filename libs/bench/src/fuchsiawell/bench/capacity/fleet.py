"""Work out what each role costs at the size to design for: `... capacity.fleet FIGURES`."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import defopt

from fuchsiawell.bench.measurement import Measurement

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["Slopes", "main", "read_slopes", "work_out"]

DAEMONS = 1_700
KEYS = 1_600_000_000
REQUESTS_PER_S = 20_000_000
MEMBERS = 12  # daemons of a cell
CELLS = 142
REGIONS = 3
CHANGES_PER_DAY = 4_000
SERVERS = 160  # of a cell
SHARDS = 4_096  # of a cell; the configuration allows no more
PINS = 64  # of a cell; the 51 hottest keys of the fleet and some that are hot in a cell only
KINDS = 32  # of request in a cell's configuration
QUEUED = 250  # requests that wait for one server, at most
SHARDS_IN_REPORT = 256
ROUNDS_PER_S = 5  # of heartbeats
RECORDS = 40_000  # that a ledger may hold
ANSWER_BYTES = 8_000_000  # that a ledger may keep
STORE_WRITES_PER_S = 300  # "several hundred"
DAY_S = 86_400

CONTROL_BYTES_PER_S = 10_000.0
CONTROL_CORE_PERCENT = 1.3
CONTROL_BYTES = 64e6
REQUEST_US = 85.0  # of one core, at 11,765 requests a second
RECORD_BYTES = 1e6  # that a value of the store may have


@dataclass(frozen=True, slots=True)
class Slopes:
    """Hold the fitted lines of a run by name."""

    slope_by_name: dict[str, float]
    intercept_by_name: dict[str, float]
    idle_admission_us: float

    def at(self, name: str, size: float) -> float:
        """Return the line's value at `size`."""
        return self.intercept_by_name[name] + self.slope_by_name[name] * size

    def per(self, name: str, size: float) -> float:
        """Return what `size` more of something adds."""
        return self.slope_by_name[name] * size


def read_slopes(lines: Iterator[str]) -> Slopes:
    """Return the lines that `python -m fuchsiawell.bench capacity` printed."""
    slopes: dict[str, float] = {}
    intercepts: dict[str, float] = {}
    idle_us = 0.0
    for line in lines:
        found = Measurement(**json.loads(line))
        _, name, *rest = found.measure.split("/")
        if rest == ["slope"]:
            slopes[name] = found.value
        elif rest == ["intercept"]:
            intercepts[name] = found.value
        elif name == "admission-idle-cpu":
            idle_us = found.value
    return Slopes(slopes, intercepts, idle_us)


def work_out(slopes: Slopes) -> Iterator[Measurement]:
    """Yield each figure, with the limit it is held against as its baseline."""
    yield from _records(slopes)
    yield from _control(slopes)
    yield from _requests(slopes)
    yield from _store(slopes)


def main(figures: Path) -> None:
    """Print the figures at the size to design for, one JSON object a line.

    :param figures: what `python -m fuchsiawell.bench capacity` printed
    """
    with Path(figures).open() as lines:
        for measurement in work_out(read_slopes(lines)):
            print(measurement.to_json())


def _figure(name: str, value: float, unit: str, limit: float | None = None) -> Measurement:
    return Measurement(f"fleet/{name}", value, unit, limit, 1)


def _record_bytes(slopes: Slopes) -> float:
    pins = slopes.per("assignment-bytes-by-pin", PINS)
    return slopes.at("assignment-bytes-by-shard", SHARDS) + pins


def _records(slopes: Slopes) -> Iterator[Measurement]:
    yield _figure("keys-a-shard", KEYS / (CELLS * SHARDS), "keys")
    yield _figure("assignment-record", _record_bytes(slopes), "B", RECORD_BYTES)
    decode_us = slopes.at("assignment-decode-cpu-by-shard", SHARDS)
    yield _figure("assignment-decode", decode_us / 1000, "ms")
    encode_us = slopes.at("assignment-encode-cpu-by-shard", SHARDS)
    yield _figure("assignment-encode", encode_us / 1000, "ms")
    yield _figure("configuration", slopes.at("configuration-bytes", KINDS), "B", RECORD_BYTES)
    yield _figure("fleet-table", slopes.at("fleet-table-bytes", CELLS), "B", RECORD_BYTES)


def _control(slopes: Slopes) -> Iterator[Measurement]:
    others = MEMBERS - 1
    heartbeat_us = slopes.at("heartbeat-round-cpu", others) * ROUNDS_PER_S
    yield _figure("heartbeats/core", heartbeat_us / 1e4, "%", CONTROL_CORE_PERCENT)
    heartbeat_bytes = slopes.at("heartbeat-round-bytes", others) * ROUNDS_PER_S
    yield _figure("heartbeats/sent", heartbeat_bytes, "B/s", CONTROL_BYTES_PER_S)
    report = slopes.at("load-report-bytes", SHARDS_IN_REPORT)
    yield _figure("load-report", report, "B")
    for every_s in (1, 5, 10):
        received = others * report / every_s
        name = f"controller/load-reports-each-{every_s}s"
        yield _figure(f"{name}/received", received, "B/s", CONTROL_BYTES_PER_S)
        decode_us = others * slopes.at("load-report-decode-cpu", SHARDS_IN_REPORT) / every_s
        yield _figure(f"{name}/core", decode_us / 1e4, "%", CONTROL_CORE_PERCENT)
    balance_us = slopes.at("balance-cpu", SHARDS)
    yield _figure("controller/balance-each-1s/core", balance_us / 1e4, "%", CONTROL_CORE_PERCENT)
    record = _record_bytes(slopes)
    yield _figure("member/least-time-between-records", record / CONTROL_BYTES_PER_S, "s")
    relayed_s = others * record / CONTROL_BYTES_PER_S
    yield _figure("watcher/least-time-between-records", relayed_s, "s")
    yield from _memory(slopes)


def _memory(slopes: Slopes) -> Iterator[Measurement]:
    assignment = slopes.at("assignment-memory-by-shard", SHARDS)
    assignment += slopes.per("assignment-memory-by-pin", PINS)
    yield _figure("memory/assignment", assignment, "B", CONTROL_BYTES)
    queues = SERVERS / MEMBERS * slopes.at("admission-memory", QUEUED)
    yield _figure("memory/queues", queues, "B", CONTROL_BYTES)
    sketches = slopes.at("sketch-memory", 128 + 2 * 256)
    yield _figure("memory/load-meter", sketches, "B", CONTROL_BYTES)
    ledger = slopes.at("ledger-memory", RECORDS) + ANSWER_BYTES
    yield _figure("memory/ledger", ledger, "B", CONTROL_BYTES)


def _requests(slopes: Slopes) -> Iterator[Measurement]:
    yield _figure("requests-a-daemon", REQUESTS_PER_S / DAEMONS, "requests/s")
    parts = {
        "cell-lookup": slopes.at("fleet-lookup-cpu", CELLS),
        "route": slopes.at("route-cpu", SHARDS),
        "admission-idle": slopes.idle_admission_us,
        "admission-waiting": slopes.at("admission-cpu", 128),
        "load-meter": slopes.at("load-record-cpu", SHARDS_IN_REPORT),
        "ledger-begin": slopes.at("ledger-begin-cpu", RECORDS),
    }
    for name, value in parts.items():
        yield _figure(f"request/{name}", value, "us", REQUEST_US)


def _store(slopes: Slopes) -> Iterator[Measurement]:
    yield _figure("store/journal-write-a-leader-each", DAEMONS / STORE_WRITES_PER_S, "s", 0.017)
    intents = RECORD_BYTES / slopes.slope_by_name["journal-bytes"]
    yield _figure("store/intents-a-journal-value", intents, "intents")
    changes = CHANGES_PER_DAY / DAY_S
    yield _figure("store/changes-of-one-cell", changes, "writes/s", STORE_WRITES_PER_S)
    yield _figure("store/changes-of-all-cells", changes * CELLS, "writes/s", STORE_WRITES_PER_S)
    configuration = slopes.at("configuration-bytes", KINDS)
    relayed = changes * configuration * (MEMBERS - 1)
    yield _figure("watcher/changes-of-all-cells/sent", relayed, "B/s", CONTROL_BYTES_PER_S)
    in_region = CELLS / REGIONS
    yield _figure("store/zone-loss-one-write-a-cell", in_region / STORE_WRITES_PER_S, "s", 3.0)


if __name__ == "__main__":
    sys.exit(defopt.run(main))
