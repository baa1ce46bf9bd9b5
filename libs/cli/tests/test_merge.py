from __future__ import annotations

from datetime import UTC, datetime, timedelta
from random import Random

from fuchsiawell.cli.log_lines import LogLine
from fuchsiawell.cli.merge import EventFilter, find_clock_lags, merge
from fuchsiawell.core import LamportClock

START = datetime(2026, 1, 1, tzinfo=UTC)


def line(process: str, lamport: int, event: str, at_s: float = 0.0, **fields: object) -> LogLine:
    time = START + timedelta(seconds=at_s)
    return LogLine(time, lamport, process, event, "info", fields, "")


def event_names(lines: list[LogLine]) -> list[str]:
    return [log_line.event for log_line in lines]


def test_send_precedes_receive_although_sender_clock_is_ahead() -> None:
    sender = [line("d1", 1, "send", at_s=60)]
    receiver = [line("d2", 2, "receive", at_s=0)]
    merged = merge([receiver, sender])
    assert event_names(merged) == ["send", "receive"]
    assert [str(lag) for lag in find_clock_lags(merged)] == [
        "the clock of d2 is up to 60.0 s behind the order of events"
    ]


def test_equal_counts_are_ordered_by_clock() -> None:
    merged = merge([[line("d1", 3, "later", at_s=2)], [line("d2", 3, "earlier", at_s=1)]])
    assert event_names(merged) == ["earlier", "later"]


def test_restarted_process_keeps_its_own_order() -> None:
    before = [line("d1", 40, "before", at_s=1)]
    after = [line("d1", 1, "start", at_s=2), line("d1", 50, "joined", at_s=3)]
    other = [line("d2", 45, "between", at_s=1.5)]
    assert event_names(merge([after, other, before])) == ["before", "start", "between", "joined"]


def test_random_run_with_clock_skew_orders_each_send_before_its_receive() -> None:
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
    order = event_names(merge(logs.values()))
    assert len(order) == 400
    for number in range(200):
        assert order.index(f"send {number}") < order.index(f"receive {number}")


def test_filter_selects_matching_events() -> None:
    lines = [
        line("d1", 1, "sent", 1, key="pen-7", request="r1", server="s1"),
        line("d2", 2, "sent", 2, key="pen-8", peer="s1"),
        line("d2", 3, "lost", 3, server="s2", path="/penwatch/level/pen-9/now"),
    ]
    expected_counts = {
        EventFilter(): [1, 2, 3],
        EventFilter(key="pen-7"): [1],
        EventFilter(key="pen-9"): [3],
        EventFilter(key="level"): [],
        EventFilter(request="r1"): [1],
        EventFilter(server="s1"): [1, 2],
        EventFilter(daemon="d2"): [2, 3],
        EventFilter(event="sent", daemon="d2"): [2],
        EventFilter(since=START + timedelta(seconds=2)): [2, 3],
        EventFilter(until=START + timedelta(seconds=2)): [1, 2],
    }
    for event_filter, counts in expected_counts.items():
        assert [log_line.lamport for log_line in lines if event_filter.matches(log_line)] == counts
