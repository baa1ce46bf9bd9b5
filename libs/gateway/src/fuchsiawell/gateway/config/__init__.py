"""Settings of a daemon."""

from __future__ import annotations
