"""The load of a cell as its controller sees it: the reports of all leaders together."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiawell.core import ServerId, ServiceName, ShardId
    from fuchsiawell.load.report import LoadReport

__all__ = ["CellLoad", "merge_reports"]

MAX_ERROR_SHARE = 0.25  # of a key's estimate; a key known less well is not acted upon


@dataclass(frozen=True, slots=True)
class CellLoad:
    """Hold mean busy slots by shard and by hot key, and the slots of each server."""

    slots_by_server: dict[ServerId, int] = field(default_factory=dict)
    busy_by_shard: dict[ShardId, float] = field(default_factory=dict)
    busy_by_key: dict[tuple[ServiceName, str], float] = field(default_factory=dict)


def merge_reports(reports: Iterable[LoadReport]) -> CellLoad:
    """Add up what the leaders saw; a shard that moved counts for both of its leaders."""
    load = CellLoad()
    for report in reports:
        for server in report.servers:
            load.slots_by_server[server.server] = server.slots
        for shard in report.shards:
            busy = load.busy_by_shard.get(shard.shard, 0.0)
            load.busy_by_shard[shard.shard] = busy + shard.busy
        for hot in report.hot_keys:
            if hot.error <= MAX_ERROR_SHARE * hot.busy:
                name = (hot.service, hot.key)
                load.busy_by_key[name] = load.busy_by_key.get(name, 0.0) + hot.busy
    return load
