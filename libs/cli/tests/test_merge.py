from __future__ import annotations

from datetime import UTC, datetime, timedelta
from random import Random

from fuchsiawell.cli.log_lines import LogLine
from fuchsiawell.cli.merge import Filter, clock_steps, merge
from fuchsiawell.core import LamportClock

START = datetime(2026, 1, 1, tzinfo=UTC)


def line(process: str, lamport: int, event: str, at_s: float = 0.0, **fields: object) -> LogLine:
    time = START + timedelta(seconds=at_s)
    return LogLine(time, lamport, process, event, "info", fields, "")


def events(lines: list[LogLine]) -> list[str]:
    return [found.event for found in lines]


def test_a_cause_comes_first_though_its_clock_is_ahead() -> None:
    sender = [line("d1", 1, "send", at_s=60)]
    receiver = [line("d2", 2, "receive", at_s=0)]
    merged = merge([receiver, sender])
    assert events(merged) == ["send", "receive"]
    assert [str(step) for step in clock_steps(merged)] == [
        "the clock of d2 is up to 60.0 s behind the order of events"
    ]


def test_clocks_break_ties_only() -> None:
    merged = merge([[line("d1", 3, "later", at_s=2)], [line("d2", 3, "earlier", at_s=1)]])
    assert events(merged) == ["earlier", "later"]


def test_a_restarted_process_keeps_its_own_order() -> None:
    before = [line("d1", 40, "before", at_s=1)]
    after = [line("d1", 1, "start", at_s=2), line("d1", 50, "joined", at_s=3)]
    other = [line("d2", 45, "between", at_s=1.5)]
    assert events(merge([after, other, before])) == ["before", "start", "between", "joined"]


def test_every_message_of_a_random_run_is_sent_before_it_is_received() -> None:
    random = Random(7)
    clocks = {name: LamportClock() for name in ("d1", "d2", "d3")}
    skew_s = {"d1": -30.0, "d2": 0.0, "d3": 45.0}
    logs: dict[str, list[LogLine]] = {name: [] for name in clocks}
    for number in range(200):
        sender, receiver = random.sample(sorted(clocks), 2)
        sent = clocks[sender].tick()
        logs[sender].append(line(sender, sent, f"send {number}", number + skew_s[sender]))
        received = clocks[receiver].merge(sent)
        logs[receiver].append(
            line(receiver, received, f"receive {number}", number + skew_s[receiver])
        )
    order = events(merge(logs.values()))
    assert len(order) == 400
    for number in range(200):
        assert order.index(f"send {number}") < order.index(f"receive {number}")


def test_events_are_chosen_by_what_they_name() -> None:
    lines = [
        line("d1", 1, "sent", 1, key="pen-7", request="r1", server="s1"),
        line("d2", 2, "sent", 2, key="pen-8", peer="s1"),
        line("d2", 3, "lost", 3, server="s2", path="/penwatch/level/pen-9/now"),
    ]
    chosen = {
        Filter(): [1, 2, 3],
        Filter(key="pen-7"): [1],
        Filter(key="pen-9"): [3],
        Filter(key="level"): [],
        Filter(request="r1"): [1],
        Filter(server="s1"): [1, 2],
        Filter(daemon="d2"): [2, 3],
        Filter(event="sent", daemon="d2"): [2],
        Filter(since=START + timedelta(seconds=2)): [2, 3],
        Filter(until=START + timedelta(seconds=2)): [1, 2],
    }
    for filter, counts in chosen.items():
        assert [found.lamport for found in lines if filter.takes(found)] == counts
