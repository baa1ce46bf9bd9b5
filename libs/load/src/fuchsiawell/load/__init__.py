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
from fuchsiawell.load.balancer import Balancer
from fuchsiawell.load.cell_load import CellLoad, merge_reports
from fuchsiawell.load.coalesce import Coalescer
from fuchsiawell.load.placement import evacuate
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
from fuchsiawell.load.weights import IMBALANCE_FIRST, UNAVAILABLE_FIRST, BalanceWeights, weights_for

__all__ = [
    "Admission",
    "Admit",
    "BalanceWeights",
    "Balancer",
    "CellLoad",
    "Coalescer",
    "Decision",
    "Entry",
    "HeavyHitters",
    "Hitter",
    "HotKey",
    "IMBALANCE_FIRST",
    "LoadMeter",
    "LoadReport",
    "LoadReportFormatError",
    "Progress",
    "QueueSettings",
    "Queued",
    "ServerLoad",
    "ShardLoad",
    "Shed",
    "ShedCause",
    "ShedEntry",
    "UNAVAILABLE_FIRST",
    "decode_load_report",
    "encode_load_report",
    "evacuate",
    "merge_reports",
    "weights_for",
]
