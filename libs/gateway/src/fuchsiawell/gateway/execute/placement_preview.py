"""What would become of a request now, without placing it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.backend_client import Target
    from fuchsiawell.gateway.execute.refusal import Refusal

__all__ = ["PlacementPreview"]


@dataclass(frozen=True)
class PlacementPreview:
    """What would become of a request now; a text is the reason for which it would wait."""

    result: Target | Refusal | str
    needs_owner: bool
    # Ids of the servers that may execute it.
    candidates: list[str]
    # Requests that wait in the same queue.
    queued: int
