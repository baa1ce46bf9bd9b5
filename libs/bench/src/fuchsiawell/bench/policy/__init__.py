"""Policy under load: who serves what, measured on seeded traces in virtual time."""

from __future__ import annotations
