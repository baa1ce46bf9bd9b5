"""The specification, the mutants that must be caught, and the known limits."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiawell.model.granting import FENCES_INCREASE, SINGLE_OWNER, GrantRules, grant_spec
from fuchsiawell.model.restored_owners import RestoredRules, restored_owners_spec
from fuchsiawell.model.series import NEW_FENCES, ONE_OWNER, SeriesRules, series_spec

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
SERIES_RULES = SeriesRules()
RESTORED_RULES = RestoredRules()
SPECS: tuple[Spec, ...] = (
    grant_spec(RULES),
    series_spec(SERIES_RULES),
    restored_owners_spec(RESTORED_RULES),
)


def _variant(name: str, rules: GrantRules, property: str = SINGLE_OWNER) -> Variant:
    return Variant(name, grant_spec(rules), property)


def _series_variant(name: str, rules: SeriesRules, property: str = ONE_OWNER) -> Variant:
    return Variant(name, series_spec(rules), property)


def _restored_variant(name: str, rules: RestoredRules) -> Variant:
    return Variant(name, restored_owners_spec(rules), SINGLE_OWNER)


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
    _series_variant(
        "successor of a killed granter forgets the one before",
        replace(SERIES_RULES, record_at_takeover=False),
    ),
    _series_variant(
        "stopped granter leaves no word of the one before",
        replace(SERIES_RULES, record_at_stop=False),
    ),
    _series_variant(
        "report of a granter taken for an earlier one's",
        replace(SERIES_RULES, report_counts_for_sender=False),
    ),
    _series_variant(
        "later term reported while still granting",
        replace(SERIES_RULES, reports_after_end=False),
    ),
    _series_variant(
        "accepted fence counts for other ranges", replace(SERIES_RULES, accepted_by_range=False)
    ),
    _series_variant("no wait in a new era", replace(SERIES_RULES, waits_in_new_era=False)),
    _series_variant(
        "fences from the stored map in a new era",
        replace(SERIES_RULES, fences_by_era=False),
        NEW_FENCES,
    ),
    _series_variant("lease renewed across eras", replace(SERIES_RULES, lease_by_era=False)),
    _series_variant("write carried out across eras", replace(SERIES_RULES, write_by_era=False)),
    _restored_variant(
        "no wait without a witness", replace(RESTORED_RULES, waits_without_witness=False)
    ),
    _restored_variant(
        "witness whose assignments have not arrived",
        replace(RESTORED_RULES, counts_assignments=False),
    ),
    _restored_variant(
        "witness that started in the new era",
        replace(RESTORED_RULES, witness_started_before=False),
    ),
    _restored_variant(
        "successor does not know of the wait", replace(RESTORED_RULES, records_wait=False)
    ),
    _restored_variant(
        "one witness alone is believed", replace(RESTORED_RULES, needs_majority=False)
    ),
    _restored_variant(
        "assignments without a count taken for a witness's",
        replace(RESTORED_RULES, witness_names_count=False),
    ),
    _restored_variant(
        "granter vouches before it has ended", replace(RESTORED_RULES, vouches_after_end=False)
    ),
    _restored_variant(
        "map that is still waited for is vouched for",
        replace(RESTORED_RULES, waiting_map_is_unknown=False),
    ),
    _restored_variant(
        "keys granted before most daemons know of the move",
        replace(RESTORED_RULES, replicates_moves=False),
    ),
    _restored_variant(
        "move acknowledged after the reply to a new granter",
        replace(RESTORED_RULES, refuses_after_reply=False),
    ),
)

LIMITS: tuple[Variant, ...] = (
    _variant("a server that does not check fences", replace(RULES, checks_fence=False)),
    _restored_variant(
        "most daemons do not answer the granter", replace(RESTORED_RULES, most_answer=False)
    ),
)
