from __future__ import annotations

from dataclasses import replace

from fuchsiawell.cli.hazards import Consent, refusals, warnings
from fuchsiawell.config import Configuration, Goal, Kind, Service
from fuchsiawell.core import CellName, ServiceName

DROP = Kind("drop", False, 1.0, 0, resend_window_s=60.0)
LEVEL = Kind("level", True, 1.0, 0)
NAME, OTHER = ServiceName("dropline"), ServiceName("penwatch")
SERVICE = Service(
    NAME, 128, 4, False, True, Goal.IMBALANCE, kinds_by_name={"drop": DROP, "level": LEVEL}
)
BEFORE = Configuration(
    1, CellName("c"), "r", ("a", "b"), {NAME: SERVICE, OTHER: replace(SERVICE, name=OTHER)}
)


def changed(service: Service) -> Configuration:
    return replace(BEFORE, services_by_name=BEFORE.services_by_name | {NAME: service})


def with_kinds(*kinds: Kind) -> Configuration:
    return changed(replace(SERVICE, kinds_by_name={kind.name: kind for kind in kinds}))


def test_a_service_goes_only_where_it_is_named() -> None:
    after = replace(BEFORE, services_by_name={OTHER: BEFORE.services_by_name[OTHER]})
    assert "--remove dropline" in next(refusals(BEFORE, after, Consent()))
    assert not list(refusals(BEFORE, after, Consent(frozenset({"dropline"}))))
    wrong = list(refusals(BEFORE, after, Consent(frozenset({"dropline", "penwatch"}))))
    assert wrong == ["--remove penwatch: the file does not remove a service of this name"]


def test_any_other_shard_count_is_refused() -> None:
    for count in (64, 256):
        after = changed(replace(SERVICE, shard_count=count))
        assert "other owners" in next(refusals(BEFORE, after, Consent()))


def test_the_first_configuration_breaks_nothing() -> None:
    assert not list(refusals(None, BEFORE, Consent()))
    assert not list(warnings(None, BEFORE))


def test_operators_are_told_of_changes_that_depend_on_others() -> None:
    said = {
        "zone b goes": replace(BEFORE, zones=("a",)),
        "checks who orders": changed(replace(SERVICE, checks_fence=True)),
        "kind dropline/level goes": with_kinds(DROP),
        "more than once": with_kinds(replace(DROP, repeatable=True), LEVEL),
        "resend after 5 s": with_kinds(replace(DROP, resend_window_s=5.0), LEVEL),
        "wait less": with_kinds(replace(DROP, deadline_s=0.5), replace(LEVEL, deadline_s=0.5)),
    }
    for words, after in said.items():
        found = list(warnings(BEFORE, after))
        assert len(found) == 1, words
        assert words in found[0]
