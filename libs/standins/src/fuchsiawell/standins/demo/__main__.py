"""Bring up a whole site, disturb it under load, and print what its callers saw."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

import defopt

from fuchsiawell.core import FuchsiawellError
from fuchsiawell.standins.demo.attempts import judge
from fuchsiawell.standins.demo.balancer import Balancer
from fuchsiawell.standins.demo.load import DropHand, Load, PlanHand, ReadHand, UploadHand
from fuchsiawell.standins.demo.report import (
    failure_lines,
    phase_table,
    planned_stop_lines,
    verdict_lines,
)
from fuchsiawell.standins.demo.scenario import Scenario
from fuchsiawell.standins.demo.site import VITI_WEST, Site, SiteError
from fuchsiawell.standins.demo.timeline import recovery_lines
from fuchsiawell.standins.process import ProcessGroup

if TYPE_CHECKING:
    from fuchsiawell.standins.demo.load import Hand

SEED = 20_261_203
READERS = 24
DROPPERS = 6
PLANNERS = 4
UPLOADERS = 5
READY_TIMEOUT_S = 30.0
WARM_TIMEOUT_S = 30.0
POLL_S = 0.1
BROKEN_STATUS = 1
NOT_RUN_STATUS = 2


class _Teller:
    """Print progress with the time since the start."""

    def __init__(self) -> None:
        self._started_at_s = time.monotonic()

    def say(self, text: str) -> None:
        print(f"[{time.monotonic() - self._started_at_s:5.1f} s] {text}", flush=True)


def demo(
    *,
    configuration: Path = Path("examples/viti-west/configuration.json"),
    logs: Path | None = None,
) -> int:
    """Run the demo.

    The exit status is 0 if every promise was kept, 1 if one was broken, and 2 if the demo could
    not be run to its end.

    :param configuration: configuration to put in force
    :param logs: empty directory in which the logs of all processes are kept
    """
    try:
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
            return _run_in(logs, configuration)
        with TemporaryDirectory(prefix="fuchsiawell-demo-") as name:
            return _run_in(Path(name), configuration)
    except FuchsiawellError as error:
        print(f"the demo could not go on: {error}", file=sys.stderr)
        return NOT_RUN_STATUS


def _run_in(directory: Path, configuration: Path) -> int:
    with ProcessGroup(directory) as group:
        site = Site(VITI_WEST, group, directory, configuration)
        return asyncio.run(_run(site))


async def _run(site: Site) -> int:
    teller = _Teller()
    random = Random(SEED)
    count = len(site.backends), len(site.daemons)
    teller.say("starting store, host list, {} backend servers, {} daemons".format(*count))
    await site.start()
    balancer = Balancer([daemon.door for daemon in site.daemons], random)
    balancer.start()
    await _wait_until_ready(site, balancer)
    load = Load(_hands(balancer, random))
    load.start()
    teller.say("all daemons are ready; callers begin")
    scenario = Scenario(site, load, teller.say)
    await scenario.run()
    teller.say("callers end")
    await load.stop()
    await balancer.stop()
    return await _report(site, load, scenario)


async def _wait_until_ready(site: Site, balancer: Balancer) -> None:
    give_up_at_s = time.monotonic() + READY_TIMEOUT_S
    while balancer.ready < len(site.daemons):
        if time.monotonic() > give_up_at_s:
            detail = f"{balancer.ready} of {len(site.daemons)} ready in {READY_TIMEOUT_S} s"
            raise SiteError("start", "daemons", detail)
        await asyncio.sleep(POLL_S)


def _hands(balancer: Balancer, random: Random) -> list[Hand]:
    kinds: list[type[Hand]] = [ReadHand] * READERS + [DropHand] * DROPPERS
    kinds += [PlanHand] * PLANNERS
    kinds += [UploadHand] * UPLOADERS
    return [kind(number, balancer, Random(random.random())) for number, kind in enumerate(kinds)]


async def _report(site: Site, load: Load, scenario: Scenario) -> int:
    attempts = load.attempts
    verdict = judge(attempts, site.executions())
    timeline = await recovery_lines(site, scenario.phase("daemon killed"), attempts)
    restart = scenario.phase("rolling restart")
    sections = [
        ("What callers saw", phase_table(attempts, scenario.phases)),
        ("Failures by cause", failure_lines(attempts) or ["none"]),
        ("Planned stops", [*_stop_lines(scenario), *planned_stop_lines(attempts, restart)]),
        ("Time line of the recovery from the killed daemon", timeline),
        ("Against what the backend servers recorded", verdict_lines(verdict)),
    ]
    for title, lines in sections:
        print(f"\n{title}")
        print("\n".join(f"  {line}" for line in lines))
    return 0 if verdict.kept else BROKEN_STATUS


def _stop_lines(scenario: Scenario) -> list[str]:
    times = [f"{time_s:.1f}" for time_s in scenario.stop_times_s]
    unclean = ", ".join(scenario.unclean_stops) or "none"
    return [f"seconds from SIGTERM to the end: {' '.join(times)}", f"not clean: {unclean}"]


if __name__ == "__main__":
    sys.exit(defopt.run(demo, argv=sys.argv[1:]))
