"""Share of the requests of an urgency class that get a place, so that no class starves."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["ServedShares"]

# A class starves when its requests get places less than this times as often as all of the service.
MIN_RELATIVE_SHARE = 0.25
# Stands for all classes of a service.
ALL_CLASSES = -1
# "The last seconds" over which the share is measured, as a time constant.
DECAY_S = 3.0
# Requests for which the share of the whole service stands in at a server: a daemon sends one
# server a request of a class only now and then.
PRIOR_REQUESTS = 4.0
# Below this decayed number of requests a share says nothing.
MIN_REQUESTS = 1.0
# Servers beyond this are measured afresh.
MAX_ENTRIES = 1000


@dataclass
class _Share:
    asked: float = 0.0
    served: float = 0.0
    updated_s: float = 0.0

    def decay(self, now_s: float) -> None:
        kept = math.exp(-max(0.0, now_s - self.updated_s) / DECAY_S)
        self.asked, self.served, self.updated_s = self.asked * kept, self.served * kept, now_s


class ServedShares:
    """Measure by service, server and class how many requests get a place."""

    def __init__(self) -> None:
        self._by_key: dict[tuple[str, str | None, int], _Share] = {}

    def record(
        self, service: str, server: str | None, urgency: int, served: bool, now_s: float
    ) -> None:
        """Record whether a request got a place; `server` is the owner of its key, if any."""
        if len(self._by_key) >= MAX_ENTRIES:
            self._by_key.clear()
        for key in {
            (service, None, ALL_CLASSES),
            (service, None, urgency),
            (service, server, urgency),
        }:
            share = self._by_key.setdefault(key, _Share())
            share.decay(now_s)
            share.asked += 1.0
            share.served += served

    def starves(self, service: str, server: str | None, urgency: int, now_s: float) -> bool:
        """Return whether a class gets too small a share of its requests served at a server."""
        whole = self._by_key.get((service, None, urgency))
        all_classes = self._by_key.get((service, None, ALL_CLASSES))
        if whole is None or all_classes is None:
            return False
        whole.decay(now_s)
        all_classes.decay(now_s)
        share_of_all = all_classes.served / all_classes.asked if all_classes.asked else 1.0
        share = whole.served / whole.asked if whole.asked else 1.0
        asked, served = whole.asked, whole.served
        at_server = self._by_key.get((service, server, urgency))
        if server is not None and at_server is not None:
            at_server.decay(now_s)
            asked = at_server.asked + PRIOR_REQUESTS * min(1.0, whole.asked)
            served = at_server.served + PRIOR_REQUESTS * min(1.0, whole.asked) * share
        return asked >= MIN_REQUESTS and served < MIN_RELATIVE_SHARE * share_of_all * asked
