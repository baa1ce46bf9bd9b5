from __future__ import annotations

import asyncio
import json
from itertools import count
from random import Random
from typing import Any

import pytest

from fuchsiawell.core import SystemClock
from fuchsiawell.standins.backend import Backend, BackendSettings, BehaviourModel
from fuchsiawell.standins.caller import CallerRequest, Whole
from fuchsiawell.standins.demo.attempts import Ending, judge
from fuchsiawell.standins.demo.balancer import Balancer, Door
from fuchsiawell.standins.demo.load import (
    DropHand,
    Hand,
    Load,
    PlanHand,
    ReadHand,
    UploadHand,
    _Asked,
    _ending,
)
from fuchsiawell.standins.process import free_port
from fuchsiawell.standins.serving import running


async def test_callers_find_the_ready_door_and_check_what_they_get() -> None:
    settings = BackendSettings("d1", slots=64, checks_fence=False)
    backend = Backend(settings, SystemClock(), BehaviourModel(service_time_s=0.0))
    async with running(backend.app) as address:  # its path /ready answers as a daemon's does
        dead = f"127.0.0.1:{free_port()}"
        balancer = Balancer([Door(dead, dead), Door(address, address)], Random(1))
        balancer.start()
        while balancer.ready == 0:
            await asyncio.sleep(0.01)
        kinds: list[type[Hand]] = [ReadHand, PlanHand, UploadHand]
        hands = [kind(number, balancer, Random(number)) for number, kind in enumerate(kinds)]
        load = Load(hands)
        load.start()
        while not all(hand.attempts for hand in hands):
            await asyncio.sleep(0.01)
        await load.stop()
        await balancer.stop()
    assert {attempt.ending for attempt in load.attempts} == {Ending.ANSWERED}
    verdict = judge(load.attempts, backend.log.all())
    assert verdict.kept
    assert verdict.never_repeat_ids >= 1


@pytest.mark.parametrize(
    ("changes", "ending"),
    [
        ({}, Ending.ANSWERED),
        ({"path": "/a/b/other"}, Ending.WRONG),
        ({"token": "other"}, Ending.WRONG),
        ({"digest": "other"}, Ending.WRONG),
    ],
)
def test_an_answer_of_another_request_is_wrong(changes: dict[str, str], ending: Ending) -> None:
    asked = _Asked("a", "b", CallerRequest("GET", "/a/b/c"), 1.0, None, "mine", "d")
    answer = {"path": "/a/b/c", "token": "mine", "digest": "d", **changes}
    assert _ending(asked, Whole(200, {}, json.dumps(answer).encode()))[0] is ending


def test_what_no_backend_server_answers_is_wrong_or_an_error() -> None:
    asked = _Asked("a", "b", CallerRequest("GET", "/a/b/c"), 1.0)
    assert _ending(asked, Whole(200, {}, b"<html>"))[0] is Ending.WRONG
    assert _ending(asked, Whole(503, {}, b"{}"))[0] is Ending.ERROR


async def test_drops_go_out_under_the_ids_that_were_issued_for_them() -> None:
    settings = BackendSettings("d1", slots=64, checks_fence=False)
    backend = Backend(settings, SystemClock(), BehaviourModel(service_time_s=0.0))

    async def app(scope: Any, receive: Any, send: Any) -> None:
        names = {name for name, _ in scope["headers"]}
        if scope["path"].startswith("/dropline") and b"idempotency-key" not in names:
            headers = [
                (b"fuchsiawell-outcome", b"not-run"),
                (b"fuchsiawell-issued-id", b"issued-%d" % next(numbers)),
                (b"content-length", b"2"),
            ]
            await send({"type": "http.response.start", "status": 428, "headers": headers})
            await send({"type": "http.response.body", "body": b"{}"})
            return
        await backend.app(scope, receive, send)

    numbers = count()
    async with running(app) as address:
        balancer = Balancer([Door(address, address)], Random(1))
        balancer.start()
        while balancer.ready == 0:
            await asyncio.sleep(0.01)
        hand = DropHand(0, balancer, Random(1))
        load = Load([hand])
        load.start()
        while len(hand.attempts) < 3:
            await asyncio.sleep(0.01)
        await load.stop()
        await balancer.stop()
    assert all(attempt.id and attempt.id.startswith("issued-") for attempt in hand.attempts)
    assert judge(load.attempts, backend.log.all()).kept
