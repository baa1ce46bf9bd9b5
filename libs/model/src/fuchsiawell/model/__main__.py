"""Check every specification, and that every mutant is caught."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from fuchsiawell.model.catalog import LIMITS, MUTANTS, SPECS
from fuchsiawell.model.checker import check, reaches

if TYPE_CHECKING:
    from fuchsiawell.model.catalog import Variant
    from fuchsiawell.model.checker import Spec, Trace

__all__ = ["main"]


def main() -> int:
    """Print each result with its shortest trace; 0 if all is as it must be."""
    print("Specifications: every property must hold in every state.")
    good = [_show_spec(spec) for spec in SPECS]
    print("\nMutants: each must be caught.")
    good += [_show_variant(mutant, "caught", "NOT CAUGHT") for mutant in MUTANTS]
    print("\nLimits: known and stated in docs/MODEL.md; what they allow must still be so.")
    good += [_show_variant(limit, "possible", "NO LONGER POSSIBLE") for limit in LIMITS]
    print(
        f"\n{len(SPECS)} specifications, {len(MUTANTS)} mutants, {len(LIMITS)} limits: "
        f"{good.count(False)} not as they must be"
    )
    return 0 if all(good) else 1


def _show_spec(spec: Spec) -> bool:
    finding = check(spec)
    verdict = "holds" if finding.holds else "FAILS"
    print(f"  {verdict}  {spec.name}: {', '.join(spec.properties)} ({finding.states} states)")
    for trace in finding.broken.values():
        print(f"    {trace.property}, broken by:")
        _show_trace(trace)
    for goal in finding.missed_goals:
        print(f"    never reached: {goal}")
    return finding.holds


def _show_variant(variant: Variant, expected: str, unexpected: str) -> bool:
    trace = reaches(variant.spec, variant.property)
    verdict = unexpected if trace is None else expected
    print(f"  {verdict}  {variant.name} ({variant.spec.name}), against: {variant.property}")
    if trace is not None:
        _show_trace(trace)
    return trace is not None


def _show_trace(trace: Trace) -> None:
    for number, label in enumerate(trace.labels, start=1):
        print(f"    {number:>3}. {label}")


if __name__ == "__main__":
    sys.exit(main())
