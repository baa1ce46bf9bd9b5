from __future__ import annotations

import asyncio
import json
from random import Random
from typing import TYPE_CHECKING

import pytest
from callers import Answer, ask

from fuchsiawell.standins.faults import NoFaults, RandomFaults, Refuse

if TYPE_CHECKING:
    from cell import Cell

KEY = "pen-1"


async def feed(
    cell: Cell, id: str, entry: int = 2, kind: str = "feed", body: bytes = b"5 kg", **fields: str
) -> Answer:
    headers = {"idempotency-key": id, **{k.replace("_", "-"): v for k, v in fields.items()}}
    address = cell.settings[entry].caller_address
    return await ask(address, f"/penwatch/{kind}/{KEY}", "POST", body, headers)


def outcome(answer: Answer) -> tuple[str, str | None]:
    if answer.headers["fuchsiawell-outcome"] == "answered":
        return ("answered", None)
    return (answer.headers["fuchsiawell-outcome"], json.loads(answer.body).get("reason"))


async def test_one_id_through_several_entry_hosts_runs_once(cell: Cell) -> None:
    server = cell.server_of(KEY)
    server.delay_s = 0.05
    answers = await asyncio.gather(*(feed(cell, "r1", entry) for entry in (0, 1, 2, 0)))
    answers.append(await feed(cell, "r1", 1))
    assert {(a.status, a.body, a.whole) for a in answers} == {(200, answers[0].body, True)}
    assert len(server.requests) == 1


async def test_an_id_is_bound_to_its_content_and_caller(cell: Cell) -> None:
    assert outcome(await feed(cell, "r1", authorization="one")) == ("answered", None)
    other_body = await feed(cell, "r1", body=b"6 kg", authorization="one")
    assert (other_body.status, outcome(other_body)) == (409, ("not-run", "id-conflict"))
    assert outcome(await feed(cell, "r1", authorization="two")) == ("unknown", None)
    assert len(cell.server_of(KEY).requests) == 1


async def test_a_cut_answer_is_unknown_and_never_runs_again(cell: Cell) -> None:
    server = cell.server_of(KEY)
    server.cut_after_bytes = 5
    assert outcome(await feed(cell, "r1")) == ("unknown", None)
    server.cut_after_bytes = None
    assert outcome(await feed(cell, "r1", 0)) == ("unknown", None)
    assert len(server.requests) == 1


async def test_a_refused_first_copy_may_be_sent_again(cell: Cell) -> None:
    server = cell.server_of(KEY)
    server.refuse = b"drain"
    first = await feed(cell, "r1", fuchsiawell_attempt="1")
    assert outcome(first) == ("not-run", "refused-by-server")
    server.refuse = None
    assert outcome(await feed(cell, "r1")) == ("answered", None)


async def test_nothing_is_sent_while_intents_cannot_be_stored(cell: Cell) -> None:
    server = cell.server_of(KEY)
    await feed(cell, "r0")
    cell.store.plan = RandomFaults(Random(1), 1.0, [Refuse()])
    assert outcome(await feed(cell, "r1")) == ("not-run", "journal-unavailable")
    assert len(server.requests) == 1
    cell.store.plan = NoFaults()


async def test_issued_ids_need_no_store(cell: Cell) -> None:
    address = cell.settings[2].caller_address
    offer = await ask(address, f"/penwatch/drop/{KEY}", "POST", b"5 kg")
    assert (offer.status, outcome(offer)) == (428, ("not-run", "id-required"))
    cell.store.plan = RandomFaults(Random(1), 1.0, [Refuse()])
    id = offer.headers["fuchsiawell-issued-id"]
    answers = [await feed(cell, id, entry, kind="drop") for entry in (2, 0)]
    assert [outcome(answer) for answer in answers] == [("answered", None)] * 2
    following = answers[0].headers["fuchsiawell-issued-id"]
    assert outcome(await feed(cell, following, kind="drop")) == ("answered", None)
    assert len(cell.server_of(KEY).requests) == 2
    cell.store.plan = NoFaults()


@pytest.mark.parametrize(("size", "again"), [(60_000, "answered"), (300_000, "unknown")])
async def test_long_answers_pass_whole_and_are_not_kept(cell: Cell, size: int, again: str) -> None:
    address = cell.settings[2].caller_address
    headers = {"idempotency-key": "r1"}
    target = f"/penwatch/feed/{KEY}?size={size}"
    answers = [await ask(address, target, "POST", b"5 kg", headers) for _ in range(2)]
    assert (answers[0].status, len(answers[0].body), answers[0].whole) == (200, size, True)
    assert outcome(answers[1])[0] == again


async def test_a_long_request_body_passes_whole_once(cell: Cell) -> None:
    body = b"x" * 300_000
    answers = [await feed(cell, "r1", body=body) for _ in range(2)]
    assert [answer.body.split()[1] for answer in answers] == [b"300000"] * 2
    assert len(cell.server_of(KEY).requests) == 1


async def test_an_entry_daemon_without_a_way_proves_nothing(cell: Cell) -> None:
    entry = cell.applications[2]
    entry.state.assignment = None
    fields = {"fuchsiawell_deadline_ms": "100"}
    assert outcome(await feed(cell, "r1", **fields))[0] == "unknown"
    first = await feed(cell, "r1", fuchsiawell_attempt="1", **fields)
    assert outcome(first) == ("not-run", "no-owner")


async def test_a_clean_change_of_leader_leaves_nothing_unknown(cell: Cell) -> None:
    address = cell.settings[2].caller_address
    offer = await ask(address, f"/penwatch/drop/{KEY}", "POST", b"5 kg")
    used, unused = offer.headers["fuchsiawell-issued-id"], ""
    answers = [await feed(cell, "r1"), await feed(cell, used, kind="drop")]
    unused = answers[1].headers["fuchsiawell-issued-id"]
    await cell.lead_all(cell.settings[2].daemon)
    again = [await feed(cell, "r1"), await feed(cell, used, kind="drop")]
    assert [answer.body for answer in again] == [answer.body for answer in answers]
    assert outcome(await feed(cell, unused, kind="drop")) == ("answered", None)
    assert len(cell.server_of(KEY).requests) == 3


async def test_an_unclean_change_of_leader_runs_nothing_again(cell: Cell) -> None:
    address = cell.settings[2].caller_address
    offer = await ask(address, f"/penwatch/drop/{KEY}", "POST", b"5 kg")
    used = offer.headers["fuchsiawell-issued-id"]
    await feed(cell, "r1")
    await feed(cell, used, kind="drop")
    for application in cell.applications:
        application._once._hand_overs._closed = _Forgets()
    await cell.lead_all(cell.settings[2].daemon)
    assert outcome(await feed(cell, "r1")) == ("unknown", None)
    assert outcome(await feed(cell, used, kind="drop")) == ("unknown", None)
    assert outcome(await feed(cell, "r2")) == ("answered", None)
    assert len(cell.server_of(KEY).requests) == 3


class _Forgets(dict):  # type: ignore[type-arg]
    """What a leader that is gone would answer."""

    def __setitem__(self, key: object, value: object) -> None:
        pass
