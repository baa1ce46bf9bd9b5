from __future__ import annotations

import io
import json
from dataclasses import replace
from datetime import timedelta

from fuchsiawell.balance import RetryRules
from fuchsiawell.core import LamportClock, ManualClock, open_event_log
from fuchsiawell.gateway.session.log_stream import LogStream
from fuchsiawell.gateway.session.metrics import SERIES_LIMIT, Metrics
from fuchsiawell.gateway.session.request_log import BURST, RequestLog
from fuchsiawell.gateway.session.state import Peer
from fuchsiawell.shards import Member, Owner, initial_map

from builders import backend, configuration, session

OWNER = Owner("i-1", 1, "127.0.0.1", 80)


def test_a_daemon_is_ready_with_a_configuration_and_servers_until_it_stops() -> None:
    made = session()
    assert not made.ready
    made.configuration = configuration()
    assert not made.ready
    made.update_backend(backend("i-1"))
    assert made.ready
    made.stopping = True
    assert not made.ready


def test_a_leaving_holder_of_keys_gets_requests_for_a_moment_only() -> None:
    clock = ManualClock(1000.0)
    made = session(clock)
    made.update_backend(backend("i-1"))
    assert made.may_send("i-1")
    made.update_backend(backend("i-1", draining=True))
    assert made.may_send("i-1")
    clock.advance(0.7)
    assert not made.may_send("i-1")
    assert not made.may_send("i-unknown")


def test_an_older_map_never_replaces_a_newer_one() -> None:
    made = session()
    old = initial_map("s", "d", [Member(OWNER, 1.0)])
    new = old.next_term("e")
    assert made.apply_shard_map(new, "test")
    assert not made.apply_shard_map(old, "test")
    assert made.shard_maps["s"] == new


def test_a_range_about_to_move_is_held_back_until_news_or_for_a_bounded_time() -> None:
    clock = ManualClock(1000.0)
    made = session(clock)
    made.block_ranges("s", [(10, 20)])
    assert made.paused("s", 15)
    assert not made.paused("s", 21)
    clock.advance(2.0)
    assert not made.paused("s", 15)
    made.block_ranges("s", [(10, 20)])
    made.apply_shard_map(initial_map("s", "d", [Member(OWNER, 1.0)]), "test")
    assert not made.paused("s", 15)


def test_lines_about_requests_are_bounded_and_what_is_left_out_is_said() -> None:
    clock, out = ManualClock(1000.0), io.StringIO()
    log = RequestLog(open_event_log("d", clock, LamportClock(), stream=out), clock)
    for _ in range(int(BURST) + 50):
        log.write("request refused")
    clock.advance(1.0)
    log.write("request refused")
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    assert len(lines) == BURST + 2
    assert lines[-2]["event"] == "request lines left out"
    assert lines[-2]["count"] == 50


def test_a_log_reader_that_stops_reading_blocks_nobody(tmp_path) -> None:
    import os

    reading, writing = os.pipe()
    stream = LogStream(writing)
    for _ in range(5000):
        stream.write("x" * 100 + "\n")
        stream.flush()
    assert stream.dropped > 0
    drained = b""
    os.set_blocking(reading, False)
    while True:
        try:
            drained += os.read(reading, 1 << 20)
        except BlockingIOError:
            stream.write("last\n")
            stream.flush()
            if b"last\n" in drained:
                break
    assert b"log lines dropped" in drained
    os.close(reading)
    os.close(writing)


def test_metrics_show_counts_and_quantiles_and_bound_their_series() -> None:
    metrics = Metrics()
    for number in range(SERIES_LIMIT + 10):
        metrics.count("requests", f"r{number}")
    metrics.observe("request_time", 0.25)
    text = metrics.render({"backends": 3})
    assert "fuchsiawell_backends 3" in text
    assert 'fuchsiawell_requests_total{label="other"} 10' in text
    assert 'fuchsiawell_request_time_ms{quantile="0.99"} 2' in text
    assert metrics.total("requests") == SERIES_LIMIT + 10


def test_a_daemon_whose_entry_lapsed_stays_a_peer_while_it_is_heard() -> None:
    """Recorded day inc-c198 (Koro): daemons cut from the store missed the news of moved keys."""
    clock = ManualClock(1000.0)
    made = session(clock)
    made.update_peer(Peer("d-2", "x", "127.0.0.1", 1))
    made.record_peer_contact("d-2")
    made.mark_peer_expired("d-2")
    clock.advance(2.0)
    made.record_peer_contact("d-2")
    clock.advance(2.0)
    made.remove_expired_peers()
    assert "d-2" in made.peers_by_name
    clock.advance(2.0)
    made.remove_expired_peers()
    assert "d-2" not in made.peers_by_name


def test_a_daemon_whose_entry_is_there_is_never_dropped_for_silence() -> None:
    clock = ManualClock(1000.0)
    made = session(clock)
    made.update_peer(Peer("d-2", "x", "127.0.0.1", 1))
    clock.advance(100.0)
    made.remove_expired_peers()
    assert "d-2" in made.peers_by_name


def test_changed_settings_take_effect_but_for_those_that_need_a_restart() -> None:
    clock = ManualClock(1000.0)
    made = session(clock)
    for _ in range(4):
        made.budget.record_request("s", made.now_s)
    changed = replace(
        made.settings, zone="b", drain=timedelta(seconds=9), retries=RetryRules(0.0, 0.0, 10.0)
    )
    made.take_settings(changed)
    assert made.settings.zone == "a"
    assert made.settings.drain == timedelta(seconds=9)
    assert not made.budget.try_acquire("s", 1, made.now_s)
