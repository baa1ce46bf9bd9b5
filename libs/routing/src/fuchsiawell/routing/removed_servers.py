"""Backend servers whose entries were removed."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["RemovedServers"]

# How long a removal is known. The store comes back from a copy that is some seconds old.
RETENTION_S = 60.0


class RemovedServers(Mapping[str, float]):
    """The monotonic time by incarnation ("server id/incarnation number") at which it was removed.

    The store may come back from an older copy, which has their entries again.
    """

    def __init__(self) -> None:
        self._removed_s: dict[str, float] = {}

    def __getitem__(self, incarnation_id: str) -> float:
        return self._removed_s[incarnation_id]

    def __iter__(self) -> Iterator[str]:
        return iter(self._removed_s)

    def __len__(self) -> int:
        return len(self._removed_s)

    def record(self, incarnation_id: str, removed_s: float) -> None:
        """Record a removal."""
        self._removed_s.setdefault(incarnation_id, removed_s)

    def discard(self, incarnation_id: str) -> None:
        """Forget the removal of an incarnation that has been listed again."""
        self._removed_s.pop(incarnation_id, None)

    def expire(self, now_s: float) -> None:
        """Forget removals of long ago."""
        for incarnation_id, removed_s in list(self._removed_s.items()):
            if now_s - removed_s > RETENTION_S:
                del self._removed_s[incarnation_id]
