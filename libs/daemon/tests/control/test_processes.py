"""Faults of real processes; counts are judged, times are not."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from typing import TYPE_CHECKING

from aiosonic import HTTPClient

from fuchsiawell.config import Configuration, Goal, Kind, Service, encode_configuration
from fuchsiawell.core import CellName, ServiceName
from fuchsiawell.standins.backend import Ending, Execution
from fuchsiawell.standins.caller import Caller, CallerRequest, CallResult, NotRun, Whole
from fuchsiawell.standins.demo.site import ServiceShape, Site, SiteShape
from fuchsiawell.standins.process import ProcessGroup

if TYPE_CHECKING:
    from pathlib import Path

SERVICE = ServiceName("penwatch")
ZONES = ("lautoka", "saweni", "vuda")
KEYS = 6
AGAIN_S = 60.0  # generous: it decides only that service comes back at all
FROZEN_S = 2.0  # past the right to act, and past the run limit of grants


class Callers:
    """Send feed orders that must not repeat, each with an id of its own, without end."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._numbers = itertools.count()
        self.results: dict[str, CallResult] = {}
        self.answered: Counter[str] = Counter()
        self._tasks = [asyncio.create_task(self._call_forever(n)) for n in range(KEYS)]

    async def served_again(self) -> None:
        """Wait until every key was answered twice more."""
        before = Counter(self.answered)
        async with asyncio.timeout(AGAIN_S):
            keys = [f"pen-{n}" for n in range(KEYS)]
            while any(self.answered[key] < before[key] + 2 for key in keys):
                await asyncio.sleep(0.02)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call_forever(self, n: int) -> None:
        key = f"pen-{n}"
        while True:
            number = next(self._numbers)
            door = self._site.daemons[number % len(self._site.daemons)].door
            caller = Caller(door.caller_address, timeout_s=3.0)
            id = f"order-{number}"
            request = CallerRequest("POST", f"/{SERVICE}/feed/{key}", {"idempotency-key": id})
            result = await caller.call(request)
            caller.close()
            self.results[id] = result
            self.answered[key] += isinstance(result, Whole) and result.status == 200
            await asyncio.sleep(0.02)


def _configuration(path: Path) -> Path:
    kind = Kind("feed", False, 2.0, 1_000, resend_window_s=60.0)
    service = Service(SERVICE, 12, 4, True, True, Goal.UNAVAILABLE_TIME)
    service.kinds_by_name[kind.name] = kind
    made = Configuration(0, CellName("viti-west"), "viti-west", ZONES, {SERVICE: service})
    path.write_bytes(encode_configuration(made))
    return path


async def _hang_store(site: Site, seconds: float) -> None:
    url = f"http://127.0.0.1:{site._store_port}/_admin/faults"
    async with HTTPClient() as client:
        await client.put(url, json={"fault": "hang", "delay_s": seconds})
        await asyncio.sleep(seconds)
        await client.put(url, json={"fault": "none"})


async def test_processes_that_die_freeze_and_return_break_no_promise(tmp_path: Path) -> None:
    shape = SiteShape(ZONES, 3, (ServiceShape(SERVICE, 3),))
    with ProcessGroup(tmp_path) as group:
        site = Site(shape, group, tmp_path, _configuration(tmp_path / "configuration.json"))
        await site.start()
        callers = Callers(site)
        await callers.served_again()
        daemons = [daemon.process for daemon in site.daemons]
        assert daemons[0] and daemons[1] and site.backends[2].process
        daemons[0].kill()  # likely the controller
        await callers.served_again()
        await site.start_daemon(site.daemons[0])
        await callers.served_again()
        daemons[1].pause()
        site.backends[2].process.pause()
        await asyncio.sleep(FROZEN_S)
        daemons[1].resume()
        site.backends[2].process.resume()
        await callers.served_again()
        await _hang_store(site, 1.0)
        await callers.served_again()
        await callers.stop()
        _judge(callers.results, site.executions())


def _judge(results: dict[str, CallResult], executions: list[Execution]) -> None:
    runs = Counter(execution.idempotency_key for execution in executions)
    assert max(runs.values()) == 1
    for id, result in results.items():
        if isinstance(result, NotRun):
            assert not runs[id], f"{id} was called not run"
        elif isinstance(result, Whole) and result.status == 200:
            assert runs[id], f"{id} was called answered"
    assert sum(isinstance(result, Whole) for result in results.values()) > KEYS * 10
    _judge_owners(executions)


def _judge_owners(executions: list[Execution]) -> None:
    """Check that no two servers worked on one shard at a time; one clock serves all processes."""
    done = [run for run in executions if run.ending is Ending.DONE and run.ended_at_s]
    for shard in {run.shard for run in done}:
        of_shard = sorted((r for r in done if r.shard == shard), key=lambda r: r.started_at_s)
        for earlier, later in itertools.combinations(of_shard, 2):
            assert earlier.ended_at_s is not None
            apart = earlier.ended_at_s <= later.started_at_s
            assert apart or earlier.server == later.server, (earlier, later)
