from __future__ import annotations

import pytest

from fuchsiawell.model.catalog import LIMITS, MUTANTS, SPECS, Variant
from fuchsiawell.model.checker import Spec, check, reaches

# The larger ones run in `make model` only, which CI runs too.
LARGE = ("membership", "ownership, servers that check")
SMALL_SPECS = [spec for spec in SPECS if not spec.name.startswith(LARGE)]
SMALL_VARIANTS = [v for v in (*MUTANTS, *LIMITS) if not v.spec.name.startswith(LARGE)]


@pytest.mark.parametrize("spec", SMALL_SPECS, ids=lambda spec: spec.name)
def test_the_protocol_holds(spec: Spec) -> None:
    assert check(spec).holds


@pytest.mark.parametrize("variant", SMALL_VARIANTS, ids=lambda variant: variant.name)
def test_a_changed_protocol_breaks_its_property(variant: Variant) -> None:
    trace = reaches(variant.spec, variant.property)
    assert trace is not None
    assert trace.labels


def test_every_variant_names_a_property_of_its_specification() -> None:
    names = [variant.name for variant in (*MUTANTS, *LIMITS)]
    assert len(set(names)) == len(names)
    for variant in (*MUTANTS, *LIMITS):
        assert variant.property in variant.spec.properties


def test_the_mutants_that_must_be_there_are_there() -> None:
    assert {
        "no fence check",
        "intent after send",
        "move without release",
        "made before confirmed",
        "successor skips the journal",
        "right revived by a late echo",
        "restarted member echoes at once",
        "echo before the store confirmed",
    } <= {mutant.name for mutant in MUTANTS}
