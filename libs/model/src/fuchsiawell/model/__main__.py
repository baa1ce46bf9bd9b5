"""Check the specifications, mutants and known limits: `python -m fuchsiawell.model`."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from fuchsiawell.model.catalog import LIMITS, MUTANTS, SPECS
from fuchsiawell.model.checker import check, find_violation

if TYPE_CHECKING:
    from fuchsiawell.model.catalog import Variant
    from fuchsiawell.model.checker import Spec, Trace

__all__ = ["main"]


def main() -> int:
    """Print each result with its shortest trace; return 0 if all are as expected, else 1."""
    print("Specifications: every property must hold in every state.")
    as_expected = [_show_spec(spec) for spec in SPECS]
    print("\nMutants: each must be caught.")
    as_expected += [_show_variant(mutant, "caught", "NOT CAUGHT") for mutant in MUTANTS]
    print("\nKnown limits (see docs/MODEL.md): each violation must still be possible.")
    as_expected += [_show_variant(limit, "possible", "NO LONGER POSSIBLE") for limit in LIMITS]
    print(
        f"\n{len(SPECS)} specifications, {len(MUTANTS)} mutants, {len(LIMITS)} limits: "
        f"{as_expected.count(False)} with unexpected results"
    )
    return 0 if all(as_expected) else 1


def _show_spec(spec: Spec) -> bool:
    finding = check(spec)
    verdict = "holds" if finding.holds else "FAILS"
    print(f"  {verdict}  {spec.name}: {', '.join(spec.properties)} ({finding.states} states)")
    for trace in finding.violations.values():
        print(f"    {trace.property}, violated by:")
        _show_trace(trace)
    for goal in finding.unreached_goals:
        print(f"    never reached: {goal}")
    return finding.holds


def _show_variant(variant: Variant, expected: str, unexpected: str) -> bool:
    trace = find_violation(variant.spec, variant.property)
    verdict = unexpected if trace is None else expected
    print(f"  {verdict}  {variant.name} ({variant.spec.name}), violates: {variant.property}")
    if trace is not None:
        _show_trace(trace)
    return trace is not None


def _show_trace(trace: Trace) -> None:
    for number, label in enumerate(trace.labels, start=1):
        print(f"    {number:>3}. {label}")


if __name__ == "__main__":
    sys.exit(main())
