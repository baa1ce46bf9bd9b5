from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from fuchsiawell.config import Address, Limits, LogLevel, address_in, load_settings, parse_address

if TYPE_CHECKING:
    from pathlib import Path

SETTINGS: dict[str, Any] = {
    "daemon": "d1",
    "cell": "viti-west",
    "region": "fiji",
    "zone": "vuda",
    "caller_address": "127.0.0.1:8080",
    "peer_address": "127.0.0.1:8081",
    "operator_address": "127.0.0.1:8082",
    "store_url": "http://127.0.0.1:2379/",
    "host_list_url": "http://127.0.0.1:2380",
}


def write(path: Path, **changes: object) -> Path:
    file = path / "settings.json"
    file.write_text(json.dumps(SETTINGS | changes))
    return file


def test_settings_are_read_with_their_defaults(tmp_path: Path) -> None:
    settings = load_settings(write(tmp_path, limits={"max_connections": 9})).unwrap()
    assert settings.daemon == "d1"
    assert settings.peer_address == Address("127.0.0.1", 8081)
    assert settings.store_url == "http://127.0.0.1:2379"
    assert settings.log_level is LogLevel.INFO
    assert settings.limits == Limits(max_connections=9)


def test_all_mistakes_are_listed_at_once(tmp_path: Path) -> None:
    file = write(tmp_path, zone="Vuda!", peer_address="host:1", log_level="loud", colour="red")
    error = load_settings(file).unwrap_err()
    places = {mistake.partition(":")[0] for mistake in error.mistakes}
    assert places == {"zone", "peer_address", "log_level", "colour"}
    assert str(error).startswith(f"read settings at {file}:\n")


def test_two_interfaces_on_one_address_are_refused(tmp_path: Path) -> None:
    error = load_settings(write(tmp_path, peer_address="127.0.0.1:8080")).unwrap_err()
    assert "must differ" in error.mistakes[0]


def test_a_missing_file_is_an_error_and_not_an_exception(tmp_path: Path) -> None:
    assert load_settings(tmp_path / "none.json").unwrap_err().mistakes == (
        "No such file or directory",
    )


@pytest.mark.parametrize("text", ["127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "a:1", ":1"])
def test_an_address_is_an_ip_number_and_a_port(text: str) -> None:
    with pytest.raises(ValueError, match="not"):
        parse_address(text)


def test_an_ipv6_address_keeps_its_brackets() -> None:
    assert str(parse_address("[::1]:80")) == "[::1]:80"


def test_a_url_holds_an_address() -> None:
    assert address_in("http://127.0.0.1:2379/") == "127.0.0.1:2379"
    with pytest.raises(ValueError, match="is not a URL"):
        address_in("127.0.0.1:2379")
