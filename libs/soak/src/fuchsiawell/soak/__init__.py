"""Fault-injection soak: daemons run as processes, faults and checks act from outside of them."""

from __future__ import annotations
