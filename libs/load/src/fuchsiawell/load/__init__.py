"""Admission, shedding, hot keys and balance."""

from __future__ import annotations

from fuchsiawell.load.admission import (
    Admission,
    Admit,
    Decision,
    Entry,
    Progress,
    Queued,
    QueueSettings,
    Shed,
    ShedCause,
    ShedEntry,
)
from fuchsiawell.load.report import (
    HotKey,
    LoadMeter,
    LoadReport,
    LoadReportFormatError,
    ServerLoad,
    ShardLoad,
    decode_load_report,
    encode_load_report,
)
from fuchsiawell.load.sketch import HeavyHitters, Hitter

__all__ = [
    "HeavyHitters",
    "Hitter",
    "HotKey",
    "LoadMeter",
    "LoadReport",
    "LoadReportFormatError",
    "ServerLoad",
    "ShardLoad",
    "decode_load_report",
    "encode_load_report",
    "Admission",
    "Admit",
    "Decision",
    "Entry",
    "Progress",
    "QueueSettings",
    "Queued",
    "Shed",
    "ShedCause",
    "ShedEntry",
]
