"""Policy under load: who serves what, measured on seeded traces in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.bench.policy.admission_comparison import compare_admission
from fuchsiawell.bench.policy.comparison import compare_policies

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiawell.bench.measurement import Measurement

__all__ = ["run"]


def run() -> Iterator[Measurement]:
    """Yield the comparison of admission rules, then that of ownership policies."""
    yield from compare_admission()
    yield from compare_policies()
