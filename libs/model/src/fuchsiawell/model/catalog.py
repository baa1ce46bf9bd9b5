"""The specification, the mutants that must be caught, and the known limits."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiawell.model.granting import FENCES_INCREASE, SINGLE_OWNER, GrantRules, grant_spec

if TYPE_CHECKING:
    from fuchsiawell.model.checker import Spec

__all__ = ["LIMITS", "MUTANTS", "SPECS", "Variant"]


@dataclass(frozen=True, slots=True)
class Variant:
    """A changed specification and the property that it must violate."""

    name: str
    spec: Spec
    property: str


RULES = GrantRules()
SPECS: tuple[Spec, ...] = (grant_spec(RULES),)


def _variant(name: str, rules: GrantRules, property: str = SINGLE_OWNER) -> Variant:
    return Variant(name, grant_spec(rules), property)


MUTANTS: tuple[Variant, ...] = (
    _variant("takeover with the old fences", replace(RULES, new_fence_at_takeover=False)),
    _variant("successor does not wait", replace(RULES, waits_for_predecessor=False)),
    _variant("granter without store never stops", replace(RULES, stops_without_store=False)),
    _variant(
        "keys of an unresponsive server moved at once", replace(RULES, waits_for_unresponsive=False)
    ),
    _variant(
        "release while a grant is unanswered", replace(RULES, release_waits_for_unanswered=False)
    ),
    _variant("release during a renewal", replace(RULES, release_waits_for_renewal=False)),
    _variant("renewal by an old shard map", replace(RULES, renews_by_current_map=False)),
    _variant(
        "move without a new fence", replace(RULES, stores_before_granting=False), FENCES_INCREASE
    ),
)

LIMITS: tuple[Variant, ...] = (
    _variant("a server that does not check fences", replace(RULES, checks_fence=False)),
)
