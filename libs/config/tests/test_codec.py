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
    configuration: dict[str, Any] = json.loads(encode_configuration(CONFIGURATION))
    configuration["services"][0] |= service_changes
    return configuration


def decode_errors(configuration: dict[str, Any]) -> str:
    return str(decode_configuration(json.dumps(configuration).encode(), "file").unwrap_err())


def test_decode_of_encoded_configuration_returns_it_unchanged() -> None:
    value = encode_configuration(CONFIGURATION)
    assert decode_configuration(value, "store").unwrap() == CONFIGURATION


def test_equal_configurations_encode_to_equal_bytes() -> None:
    reordered = replace(SERVICE, kinds_by_name={"drop": DROP, "level": LEVEL, "plan": PLAN})
    other = replace(CONFIGURATION, services_by_name={SERVICE.name: reordered})
    assert encode_configuration(other) == encode_configuration(CONFIGURATION)


def test_errors_name_step_peer_and_path() -> None:
    assert decode_errors(document(slots=0, goal="speed")).startswith(
        "decode configuration at file:"
    )
    assert "services.0.slots" in decode_errors(document(slots=0, goal="speed"))
    assert "services.0.goal" in decode_errors(document(slots=0, goal="speed"))


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"checks_fence": False, "checks_deadline": False}, "the deadline, or both"),
        ({"checks_fence": False}, "continue only where servers check the fence"),
        ({"slots": 131}, "max_connections must be at least slots"),
    ],
)
def test_conflicting_service_settings_are_rejected(changes: dict[str, Any], expected: str) -> None:
    assert expected in decode_errors(document(**changes))


def test_minted_ids_may_continue_without_store_and_without_fence_checks() -> None:
    configuration = document(checks_fence=False)
    del configuration["services"][0]["kinds"][0]
    assert decode_configuration(json.dumps(configuration).encode(), "file").is_ok()


def test_more_shards_than_fit_into_assignment_record_are_rejected() -> None:
    configuration = document(shard_count=4_000)
    configuration["services"].append(configuration["services"][0] | {"name": "other"})
    assert "more than 4096 shards together" in decode_errors(configuration)


def test_conflicting_kind_settings_and_duplicate_names_are_rejected() -> None:
    configuration = document()
    drop, level, _ = configuration["services"][0]["kinds"]
    configuration["services"][0]["kinds"] = [
        drop | {"coalesce": True},
        drop | {"resend_window_s": 1.0},
    ]
    assert "repeatable kinds only" in decode_errors(configuration)
    assert "at least its deadline_s" in decode_errors(configuration)
    configuration["services"][0]["kinds"] = [level, level]
    assert "kind named twice: level" in decode_errors(configuration)


def test_kind_lookup_by_service_and_name() -> None:
    assert CONFIGURATION.kind("penwatch", "drop") == DROP
    assert CONFIGURATION.kind("penwatch", "none") is None
    assert CONFIGURATION.kind("none", "drop") is None
    assert SERVICE.longest_deadline_s == 2.0
    assert configuration_key(CONFIGURATION.cell) == "cells/viti-west/configuration"
