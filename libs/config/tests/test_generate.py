from __future__ import annotations

import json
from pathlib import Path

import pytest

from fuchsiawell.config import decode_configuration, encode_configuration
from fuchsiawell.config.answers import read_answers
from fuchsiawell.config.generate import generate
from fuchsiawell.core import ServiceName

EXAMPLES = Path(__file__).parents[3] / "examples"


def test_same_answers_generate_same_bytes_and_valid_configuration() -> None:
    text = (EXAMPLES / "kilimanjaro/answers.json").read_text()
    first, second = (generate(read_answers(text, "a").unwrap(), "a").unwrap() for _ in range(2))
    value = encode_configuration(first)
    assert value == encode_configuration(second)
    assert decode_configuration(value, "a").unwrap() == first


@pytest.mark.parametrize(("servers", "shards"), [(1, 128), (8, 128), (9, 256), (20, 512)])
def test_shard_count_is_power_of_two_and_same_for_similar_server_counts(
    servers: int, shards: int
) -> None:
    document = json.loads((EXAMPLES / "viti-west/answers.json").read_text())
    document["services"][0]["backend_servers"] = servers
    answers = read_answers(json.dumps(document), "a").unwrap()
    services_by_name = generate(answers, "a").unwrap().services_by_name
    assert services_by_name[ServiceName("penwatch")].shard_count == shards


def test_more_servers_than_one_cell_can_assign_are_rejected() -> None:
    document = json.loads((EXAMPLES / "viti-west/answers.json").read_text())
    for service in document["services"]:
        service["backend_servers"] = 128
    error = generate(read_answers(json.dumps(document), "a").unwrap(), "a").unwrap_err()
    assert error.errors[0].question == "services"
