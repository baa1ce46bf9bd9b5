"""Settings, questionnaire and configuration."""

from __future__ import annotations

__all__: list[str] = []
