from __future__ import annotations

import pytest

from fuchsiawell.model.catalog import LIMITS, MUTANTS, SPECS, Variant
from fuchsiawell.model.checker import Spec, check, find_violation


@pytest.mark.parametrize("spec", SPECS, ids=lambda spec: spec.name)
def test_specification_holds(spec: Spec) -> None:
    assert check(spec).holds


@pytest.mark.parametrize("variant", (*MUTANTS, *LIMITS), ids=lambda variant: variant.name)
def test_variant_violates_its_property(variant: Variant) -> None:
    trace = find_violation(variant.spec, variant.property)
    assert trace is not None
    assert trace.labels


def test_variant_names_are_unique() -> None:
    names = [variant.name for variant in (*MUTANTS, *LIMITS)]
    assert len(set(names)) == len(names)
