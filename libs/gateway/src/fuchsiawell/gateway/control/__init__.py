"""Control loops: watch the store, grant key ranges, exchange state with other daemons."""

from __future__ import annotations
