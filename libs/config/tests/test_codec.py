from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest

from fuchsiawell.config import (
    Configuration,
    Goal,
    IdStyle,
    Kind,
    Service,
    StoreOutage,
    configuration_key,
    decode_configuration,
    encode_configuration,
)
from fuchsiawell.core import CellName, ServiceName

DROP = Kind("drop", False, 2.0, 0, 1_000, 600.0, StoreOutage.CONTINUE, IdStyle.FREE_FORM)
PLAN = Kind("plan", False, 2.0, 0, 1_000, 600.0, StoreOutage.CONTINUE, IdStyle.MINTED)
LEVEL = Kind("level", True, 1.0, 0, coalesce=True)
SERVICE = Service(
    name=ServiceName("penwatch"),
    shard_count=64,
    slots=4,
    checks_fence=True,
    checks_deadline=True,
    goal=Goal.UNAVAILABLE_TIME,
    kinds_by_name={"plan": PLAN, "level": LEVEL, "drop": DROP},
)
CONFIGURATION = Configuration(
    3, CellName("viti-west"), "fiji", ("vuda", "saweni"), {SERVICE.name: SERVICE}
)


def document(**service_changes: Any) -> dict[str, Any]:
    found: dict[str, Any] = json.loads(encode_configuration(CONFIGURATION))
    found["services"][0] |= service_changes
    return found


def mistakes(found: dict[str, Any]) -> str:
    return str(decode_configuration(json.dumps(found).encode(), "file").unwrap_err())


def test_a_configuration_survives_the_round_trip() -> None:
    value = encode_configuration(CONFIGURATION)
    assert decode_configuration(value, "store").unwrap() == CONFIGURATION


def test_equal_configurations_give_equal_bytes() -> None:
    reordered = replace(SERVICE, kinds_by_name={"drop": DROP, "level": LEVEL, "plan": PLAN})
    other = replace(CONFIGURATION, services_by_name={SERVICE.name: reordered})
    assert encode_configuration(other) == encode_configuration(CONFIGURATION)


def test_mistakes_carry_step_peer_and_place() -> None:
    assert mistakes(document(slots=0, goal="speed")).startswith("decode configuration at file:")
    assert "services.0.slots" in mistakes(document(slots=0, goal="speed"))
    assert "services.0.goal" in mistakes(document(slots=0, goal="speed"))


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"checks_fence": False, "checks_deadline": False}, "the deadline, or both"),
        ({"checks_fence": False}, "continue only where servers check the fence"),
        ({"slots": 131}, "max_connections must be at least slots"),
    ],
)
def test_contradictory_rules_are_refused(changes: dict[str, Any], expected: str) -> None:
    assert expected in mistakes(document(**changes))


def test_minted_ids_need_no_store_and_so_no_fence_to_go_on_without_it() -> None:
    found = document(checks_fence=False)
    del found["services"][0]["kinds"][0]
    assert decode_configuration(json.dumps(found).encode(), "file").is_ok()


def test_more_shards_than_an_assignment_record_holds_are_refused() -> None:
    found = document(shard_count=4_000)
    found["services"].append(found["services"][0] | {"name": "other"})
    assert "more than 4096 shards together" in mistakes(found)


def test_contradictory_kinds_and_doubled_names_are_refused() -> None:
    found = document()
    drop, level, _ = found["services"][0]["kinds"]
    found["services"][0]["kinds"] = [drop | {"coalesce": True}, drop | {"resend_window_s": 1.0}]
    assert "repeatable kinds only" in mistakes(found)
    assert "at least its deadline_s" in mistakes(found)
    found["services"][0]["kinds"] = [level, level]
    assert "kind named twice: level" in mistakes(found)


def test_rules_are_found_by_name() -> None:
    assert CONFIGURATION.kind("penwatch", "drop") == DROP
    assert CONFIGURATION.kind("penwatch", "none") is None
    assert CONFIGURATION.kind("none", "drop") is None
    assert SERVICE.longest_deadline_s == 2.0
    assert configuration_key(CONFIGURATION.cell) == "cells/viti-west/configuration"
