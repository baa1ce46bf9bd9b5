"""Stand-ins for the platform and backend servers, for tests and the demo."""

from __future__ import annotations

__all__: list[str] = []
