from __future__ import annotations

import pytest

from fuchsiawell.core import DaemonId, ServerId, ServiceName, ShardId
from fuchsiawell.load.report import (
    MAX_HOT_KEYS,
    MAX_SHARDS,
    LoadMeter,
    LoadReportFormatError,
    decode_load_report,
    encode_load_report,
)

SERVICE = ServiceName("penwatch")
SERVER = ServerId("s1")


def test_measures_busy_slots_by_server_shard_and_key() -> None:
    meter = LoadMeter(0.0, half_life_s=5.0)
    for tick in range(4_000):
        meter.record(SERVER, ShardId(SERVICE, tick % 2), f"pen-{tick % 2}", 0.02, tick / 100)
    report = meter.report(DaemonId("d1"), [(SERVER, 4, 7)], 40.0)
    assert report.servers[0].busy == pytest.approx(2.0, rel=0.02)
    assert [load.busy for load in report.shards] == pytest.approx([1.0, 1.0], rel=0.02)
    assert {hot.key for hot in report.hot_keys} == {"pen-0", "pen-1"}
    assert meter.report(DaemonId("d1"), [(ServerId("s2"), 4, 0)], 40.0).shards == ()


def test_a_report_is_bounded_and_survives_its_codec() -> None:
    meter = LoadMeter(0.0)
    for number in range(5_000):
        meter.record(SERVER, ShardId(SERVICE, number), f"key-{number}", 0.5, 0.0)
    report = meter.report(DaemonId("d1"), [(SERVER, 4, 1)], 0.0)
    assert len(report.shards) == MAX_SHARDS
    assert len(report.hot_keys) == MAX_HOT_KEYS
    value = encode_load_report(report)
    found = decode_load_report(value, "d1")
    assert [load.shard for load in found.shards] == [load.shard for load in report.shards]
    assert encode_load_report(found) == value


@pytest.mark.parametrize("value", [b"", b"\xc1", b"\x95\x02\xa1d\x90\x90\x90", b"\x93\x01\x02"])
def test_refuses_bytes_that_are_not_a_report(value: bytes) -> None:
    with pytest.raises(LoadReportFormatError, match="d9"):
        decode_load_report(value, "d9")
