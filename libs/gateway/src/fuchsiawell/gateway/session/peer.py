"""Another daemon, as its entry in the store describes it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Peer"]


@dataclass(frozen=True)
class Peer:
    """A daemon; `start_id` identifies one start of its process."""

    name: str
    start_id: str
    host: str
    port: int
    zone: str = ""
    # Capacity for work on behalf of other daemons, in addition to serving requests.
    capacity_cores: float = 1.0
