from __future__ import annotations

from dataclasses import replace

from fuchsiawell.bench.policy.admission_comparison import run_rules
from fuchsiawell.bench.policy.balanced import BalancedMoves
from fuchsiawell.bench.policy.cell import CellRun
from fuchsiawell.bench.policy.overload import TRIGGERS
from fuchsiawell.bench.policy.routing import SHARDS, StaticHashing
from fuchsiawell.bench.policy.traces import TRACES, arrivals

QUIET = next(trace for trace in TRACES if trace.name == "server-loss")
SMALL = replace(
    QUIET,
    site=replace(QUIET.site, servers=4, slots=2, service_s=0.5, deadline_s=4.0, keys=200),
    outages=(replace(QUIET.outages[0], servers=(3,)),),
)


def test_equal_seeds_give_equal_requests() -> None:
    first = arrivals(SMALL, 1)
    arrivals.cache_clear()
    assert arrivals(SMALL, 1) == first
    assert arrivals(SMALL, 2) != first


def test_every_request_ends_and_runs_repeat() -> None:
    runs = [CellRun(SMALL, StaticHashing(SMALL), 1).run() for _ in range(2)]
    assert runs[0].answered_in_time + runs[0].failed == len(arrivals(SMALL, 1))
    assert runs[0] == runs[1]


def test_a_lost_servers_keys_move_and_are_counted_apart() -> None:
    router = BalancedMoves(SMALL)
    figures = CellRun(SMALL, router, 1).run()
    assert 0 < figures.keys_moved_by_loss <= figures.keys_moved
    owners = {router.route(key, 0.0)[0] for key in range(SMALL.site.keys)}
    assert owners == {0, 1, 2, 3}
    assert sum(router.keys_by_shard) + len(router._pin_by_key) == SMALL.site.keys
    assert len(router.owner_by_shard) == SHARDS


def test_the_queue_recovers_where_no_control_stays_down() -> None:
    for trigger in TRIGGERS:
        runs = run_rules(trigger, seeds=(1,))
        assert runs["deadline-queue"][0].recovery_s() <= 30.0
        assert runs["no-control"][0].recovery_s() > 100.0
        assert runs["deadline-queue"][0].goodput() > runs["load-manager-1s"][0].goodput()
