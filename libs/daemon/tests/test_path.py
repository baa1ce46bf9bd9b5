from __future__ import annotations

import asyncio
import hashlib
import json
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from callers import ask, exchange
from cell import SERVICE

from fuchsiawell.ownership import ShardState

if TYPE_CHECKING:
    from cell import Cell


async def test_any_daemon_reaches_the_owner_of_a_key(cell: Cell) -> None:
    for settings in cell.settings:
        for key in ("pen-1", "pen-2", "pen-3", "pen-4"):
            answer = await ask(settings.caller_address, f"/penwatch/status/{key}")
            assert answer.status == 200
            assert answer.whole
            assert answer.headers["fuchsiawell-outcome"] == "answered"
            assert answer.body.decode().split()[0] == cell.server_of(key).id


async def test_the_fence_and_the_deadline_travel_to_the_server(cell: Cell) -> None:
    headers = {"fuchsiawell-deadline-ms": "500", "fuchsiawell-term": "99", "x-own": "kept"}
    await ask(cell.settings[2].caller_address, "/penwatch/status/pen-1", headers=headers)
    seen = cell.server_of("pen-1").requests[-1]["headers"]
    assert seen[b"fuchsiawell-term"] == b"1"
    assert seen[b"fuchsiawell-epoch"] == b"1"
    assert 0 < int(seen[b"fuchsiawell-deadline-ms"]) <= 500
    assert seen[b"x-own"] == b"kept"


async def test_large_bodies_pass_whole_both_ways(cell: Cell) -> None:
    body = bytes(range(256)) * 8192
    answer = await ask(cell.settings[2].caller_address, "/penwatch/status/pen-1", "PUT", body)
    assert answer.body.decode().split()[1:] == [str(len(body)), hashlib.sha256(body).hexdigest()]
    answer = await ask(cell.settings[2].caller_address, "/penwatch/status/pen-1?size=3000000")
    assert answer.whole
    assert len(answer.body) == 3_000_000


async def test_an_answer_cut_by_the_server_is_cut_at_the_caller(cell: Cell) -> None:
    cell.server_of("pen-1").cut_after_bytes = 200_000
    answer = await ask(cell.settings[2].caller_address, "/penwatch/status/pen-1?size=1000000")
    assert not answer.whole
    assert len(answer.body) < 1_000_000


async def test_an_upload_cut_by_the_caller_is_cut_at_the_server(cell: Cell) -> None:
    address = cell.settings[2].caller_address
    _, writer = await asyncio.open_connection(address.host, address.port)
    head = "PUT /penwatch/status/pen-1 HTTP/1.1\r\nhost: x\r\ncontent-length: 1000000\r\n\r\n"
    writer.write(head.encode() + b"x" * 300_000)
    await writer.drain()
    await asyncio.sleep(0.1)
    writer.transport.abort()
    server = cell.server_of("pen-1")
    async with asyncio.timeout(5):
        while not server.requests:
            await asyncio.sleep(0.01)
    assert server.requests == [{"path": "/penwatch/status/pen-1", "cut": True}]


@pytest.mark.parametrize(
    ("target", "status", "reason"),
    [
        ("/", 400, "malformed"),
        ("/penwatch/status", 400, "malformed"),
        ("/penwatch/status/%FF", 400, "malformed"),
        ("/penwatch/status/" + "k" * 600, 400, "malformed"),
        ("/nowhere/status/pen-1", 404, "unknown-service"),
        ("/penwatch/unheard/pen-1", 404, "unknown-kind"),
        ("/penwatch/feed/pen-1", 428, "id-required"),
    ],
)
async def test_bad_requests_are_refused_as_not_run(
    cell: Cell, target: str, status: int, reason: str
) -> None:
    answer = await ask(cell.settings[0].caller_address, target)
    assert answer.status == status
    assert answer.headers["fuchsiawell-outcome"] == "not-run"
    assert json.loads(answer.body)["reason"] == reason
    assert not any(server.requests for server in cell.servers)


async def test_a_body_over_the_limit_is_refused_before_it_is_read(cell: Cell) -> None:
    head = (
        "PUT /penwatch/feed/pen-1 HTTP/1.1\r\nhost: x\r\nidempotency-key: a\r\n"
        "content-length: 9999999\r\n\r\n"
    )
    answer = await exchange(cell.settings[0].caller_address, head.encode())
    assert answer.status == 413


async def test_headers_over_the_limit_are_refused(cell: Cell) -> None:
    head = b"GET /penwatch/status/pen-1 HTTP/1.1\r\nhost: x\r\nx: " + b"y" * 100_000
    answer = await exchange(cell.settings[0].caller_address, head)
    assert answer.status == 431


async def test_foreign_bytes_are_refused(cell: Cell) -> None:
    answer = await exchange(cell.settings[0].caller_address, b"\x16\x03\x01 not http\r\n\r\n")
    assert answer.status == 400


async def test_a_refusal_by_the_server_is_not_run(cell: Cell) -> None:
    cell.server_of("pen-1").refuse = b"shed"
    answer = await ask(cell.settings[1].caller_address, "/penwatch/status/pen-1")
    assert answer.status == 503
    assert answer.headers["fuchsiawell-outcome"] == "not-run"
    assert json.loads(answer.body)["reason"] == "shed"


async def test_no_answer_before_the_deadline_is_unknown(cell: Cell) -> None:
    cell.server_of("pen-1").delay_s = 0.5
    headers = {"fuchsiawell-deadline-ms": "150"}
    answer = await ask(cell.settings[1].caller_address, "/penwatch/status/pen-1", headers=headers)
    assert answer.status == 504
    assert answer.headers["fuchsiawell-outcome"] == "unknown"


async def test_a_repeatable_request_passes_a_silent_connection(cell: Cell) -> None:
    server = cell.server_of("pen-1")
    server.swallow = 1
    answer = await ask(cell.settings[1].caller_address, "/penwatch/status/pen-1")
    assert answer.status == 200
    assert len(server.requests) == 2


async def test_a_never_repeat_request_on_a_silent_connection_is_sent_once(cell: Cell) -> None:
    server = cell.server_of("pen-1")
    server.swallow = 1
    headers = {"idempotency-key": "drop-1", "fuchsiawell-deadline-ms": "1200"}
    answer = await ask(
        cell.settings[1].caller_address, "/penwatch/feed/pen-1", "POST", b"5 kg", headers
    )
    assert answer.headers["fuchsiawell-outcome"] == "unknown"
    assert len(server.requests) == 1


async def test_an_upload_waits_for_a_key_that_is_moving(cell: Cell) -> None:
    def set_state(state: ShardState) -> None:
        for application in cell.applications:
            held = application.state.assignment
            assert held is not None
            shard = held.shard_for(SERVICE, "pen-1")
            assert shard is not None
            shards = {**held.shards_by_id, shard: replace(held.shards_by_id[shard], state=state)}
            application.state.offer_assignment(
                replace(held, shards_by_id=shards, revision=held.revision + 1)
            )

    set_state(ShardState.MOVING)
    body = bytes(range(256)) * 4096
    uploading = asyncio.create_task(
        ask(cell.settings[1].caller_address, "/penwatch/status/pen-1", "PUT", body)
    )
    await asyncio.sleep(0.1)
    assert not any(server.requests for server in cell.servers)
    set_state(ShardState.ASSIGNED)
    answer = await uploading
    assert answer.body.decode().split()[1:] == [str(len(body)), hashlib.sha256(body).hexdigest()]
