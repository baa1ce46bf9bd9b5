"""Load pattern: seventy daemons, a dozen servers, and counts older than the work takes."""

from __future__ import annotations

import heapq
from random import Random

from fuchsiawell.balance import Chooser, Estimates, Loads, Outliers
from fuchsiawell.routing import Backend

DAEMONS, SERVERS, SLOTS = 70, 12, 2
WORK_S, RATE, REPORT_S, LENGTH_S = 0.066, 250.0, 0.1, 12.0


class Daemon:
    """Chooses by its own counts, and by the others' as they were told some time ago."""

    def __init__(self, number: int, sampling: bool) -> None:
        self.loads = Loads()
        chance = Random(number)
        self.chooser = Chooser(f"z{number % 4}", Estimates(), self.loads, Outliers(), chance)
        self.chooser.sampling = sampling


def _tell_loads(daemons: list[Daemon], now_s: float) -> None:
    reports = [daemon.loads.report() for daemon in daemons]
    total: dict[int, int] = {}
    for report in reports:
        for server, count in report.items():
            total[server] = total.get(server, 0) + count
    for daemon, own in zip(daemons, reports, strict=True):
        others = {server: count - own.get(server, 0) for server, count in total.items()}
        daemon.loads.heard("total", others, now_s)


def _mean_wait_s(sampling: bool) -> float:
    """Return how long requests waited in the queues of the servers."""
    chance = Random(7)
    servers = [
        Backend(f"i-{n}", "s", "10.0.0.1", 80, f"z{n % 4}", SLOTS, 1, False) for n in range(SERVERS)
    ]
    daemons = [Daemon(number, sampling) for number in range(DAEMONS)]
    ends_by_server: dict[str, list[float]] = {server.id: [] for server in servers}
    running: list[tuple[float, int, str]] = []
    waits: list[float] = []
    now_s = report_at_s = 0.0
    while now_s < LENGTH_S:
        now_s += chance.expovariate(RATE)
        while running and running[0][0] <= now_s:
            _, number, server_id = heapq.heappop(running)
            daemons[number].loads.finished(server_id)
            ends_by_server[server_id].pop(0)
        if now_s >= report_at_s:
            report_at_s = now_s + REPORT_S
            _tell_loads(daemons, now_s)
        number = chance.randrange(DAEMONS)
        candidate = daemons[number].chooser.choose(servers, "r", 0, now_s)
        assert candidate is not None
        ends = ends_by_server[candidate.backend.id]
        start_s = now_s if len(ends) < SLOTS else max(now_s, ends[-SLOTS])
        waits.append(start_s - now_s)
        ends.append(start_s + WORK_S)
        daemons[number].loads.started(candidate.backend.id)
        heapq.heappush(running, (start_s + WORK_S, number, candidate.backend.id))
    return sum(waits) / len(waits)


def test_drawn_servers_bear_stale_counts_better_than_the_best_of_all() -> None:
    assert _mean_wait_s(sampling=True) < 0.7 * _mean_wait_s(sampling=False)


def test_a_draw_takes_a_server_of_the_zone_and_one_of_the_others() -> None:
    daemon = Daemon(0, sampling=True)
    near = Backend("near", "s", "10.0.0.1", 80, "z0", SLOTS, 1, False)
    far = Backend("far", "s", "10.0.0.1", 80, "z1", SLOTS, 1, False)
    daemon.loads.heard("total", {}, 0.0)
    for servers in ([near], [far], [near, far]):
        assert daemon.chooser.choose(servers, "r", 0, 0.0) is not None
    for _ in range(20):
        chosen = daemon.chooser.choose([near, far], "r", 60_000, 0.0)
        assert chosen is not None
        assert chosen.backend == near
