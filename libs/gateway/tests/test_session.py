"""State of a daemon: readiness, draining, shard maps, peers, logs, metrics."""

from __future__ import annotations

import io
import json
from dataclasses import replace
from datetime import timedelta

import pytest

from fuchsiawell.balance import RetryRules
from fuchsiawell.core import LamportClock, ManualClock, open_event_log
from fuchsiawell.gateway.session.log_stream import LogStream
from fuchsiawell.gateway.session.metrics import MAX_SERIES_PER_COUNTER, Metrics
from fuchsiawell.gateway.session.request_log import BURST_LINES, RequestLog
from fuchsiawell.gateway.session.state import Peer
from fuchsiawell.shards import Member, Owner, initial_map

from builders import backend, configuration, session

OWNER = Owner("i-1", 1, "127.0.0.1", 80)


def test_daemon_is_ready_with_configuration_and_servers_until_it_stops() -> None:
    gateway_session = session()
    assert not gateway_session.ready
    gateway_session.configuration = configuration()
    assert not gateway_session.ready
    gateway_session.update_backend(backend("i-1"))
    assert gateway_session.ready
    gateway_session.stopping = True
    assert not gateway_session.ready


def test_draining_owner_gets_requests_for_a_limited_time() -> None:
    clock = ManualClock(1000.0)
    gateway_session = session(clock)
    gateway_session.update_backend(backend("i-1"))
    assert gateway_session.owner_accepts_requests("i-1")
    gateway_session.update_backend(backend("i-1", draining=True))
    assert gateway_session.owner_accepts_requests("i-1")
    clock.advance(0.7)
    assert not gateway_session.owner_accepts_requests("i-1")
    assert not gateway_session.owner_accepts_requests("i-unknown")


# Guards against an older entry that a store restored from a copy shows again, and against an entry
# that is back after an outage of the store: the server got requests again.
@pytest.mark.parametrize("removed", [False, True])
@pytest.mark.parametrize("draining", [False, True])
def test_entry_of_a_server_that_was_draining_does_not_undo_it(
    removed: bool, draining: bool
) -> None:
    clock = ManualClock(1000.0)
    gateway_session = session(clock)
    gateway_session.update_backend(backend("i-1"))
    gateway_session.update_backend(backend("i-1", draining=True))
    clock.advance(2.5)
    if removed:
        gateway_session.remove_backend("i-1")
    clock.advance(2.5)
    gateway_session.update_backend(backend("i-1", draining=draining))
    assert not gateway_session.owner_accepts_requests("i-1")
    assert not gateway_session.directory.preferred("s")
    gateway_session.update_backend(backend("i-1", incarnation=2))
    assert gateway_session.owner_accepts_requests("i-1")


# Guards against an owner that gets requests for a while again each time its entry comes back.
def test_owner_that_says_it_leaves_gets_requests_from_the_first_response_on_only() -> None:
    clock = ManualClock(1000.0)
    gateway_session = session(clock)
    gateway_session.update_backend(backend("i-1"))
    assert gateway_session.record_leaving("i-1", "i-1/1", "server")
    assert gateway_session.owner_accepts_requests("i-1")
    clock.advance(0.7)
    assert not gateway_session.record_leaving("i-1", "i-1/1", "server")
    assert not gateway_session.owner_accepts_requests("i-1")
    gateway_session.remove_backend("i-1")
    assert not gateway_session.owner_accepts_requests("i-1")
    gateway_session.update_backend(backend("i-1"))
    assert not gateway_session.owner_accepts_requests("i-1")
    assert not gateway_session.directory.preferred("s")
    gateway_session.update_backend(backend("i-1", incarnation=2))
    assert gateway_session.owner_accepts_requests("i-1")
    assert len(gateway_session.directory.preferred("s")) == 1


def test_older_shard_map_does_not_replace_newer_one() -> None:
    gateway_session = session()
    old = initial_map("s", "d", [Member(OWNER, 1.0)])
    new = old.next_term("e")
    assert gateway_session.apply_shard_map(new, "test")
    assert not gateway_session.apply_shard_map(old, "test")
    assert gateway_session.shard_maps["s"] == new


def test_blocked_range_is_unblocked_by_new_shard_map_or_after_a_limit() -> None:
    clock = ManualClock(1000.0)
    gateway_session = session(clock)
    gateway_session.block_ranges("s", [(10, 20)])
    assert gateway_session.is_blocked("s", 15)
    assert not gateway_session.is_blocked("s", 21)
    clock.advance(2.0)
    assert not gateway_session.is_blocked("s", 15)
    gateway_session.block_ranges("s", [(10, 20)])
    gateway_session.apply_shard_map(initial_map("s", "d", [Member(OWNER, 1.0)]), "test")
    assert not gateway_session.is_blocked("s", 15)


def test_request_log_drops_lines_over_the_rate_and_logs_their_count() -> None:
    clock, out = ManualClock(1000.0), io.StringIO()
    log = RequestLog(open_event_log("d", clock, LamportClock(), stream=out), clock)
    for _ in range(int(BURST_LINES) + 50):
        log.write("request refused")
    clock.advance(1.0)
    log.write("request refused")
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    assert len(lines) == BURST_LINES + 2
    assert lines[-2]["event"] == "request lines left out"
    assert lines[-2]["count"] == 50


def test_stalled_log_reader_does_not_block_writes(tmp_path) -> None:
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


def test_metrics_render_counts_and_quantiles_and_limit_series() -> None:
    metrics = Metrics()
    for number in range(MAX_SERIES_PER_COUNTER + 10):
        metrics.count("requests", f"r{number}")
    metrics.observe("request_time", 0.25)
    text = metrics.render({"backends": 3})
    assert "fuchsiawell_backends 3" in text
    assert 'fuchsiawell_requests_total{label="other"} 10' in text
    assert 'fuchsiawell_request_time_ms{quantile="0.99"} 2' in text
    assert metrics.total("requests") == MAX_SERIES_PER_COUNTER + 10


def test_peer_with_expired_entry_stays_while_it_sends_datagrams() -> None:
    """Guard against inc-c198 (Koro): daemons cut off from the store missed moves of keys."""
    clock = ManualClock(1000.0)
    gateway_session = session(clock)
    gateway_session.update_peer(Peer("d-2", "x", "127.0.0.1", 1))
    gateway_session.record_peer_contact("d-2")
    gateway_session.mark_peer_expired("d-2")
    clock.advance(2.0)
    gateway_session.record_peer_contact("d-2")
    clock.advance(2.0)
    gateway_session.remove_expired_peers()
    assert "d-2" in gateway_session.peers_by_name
    clock.advance(2.0)
    gateway_session.remove_expired_peers()
    assert "d-2" not in gateway_session.peers_by_name


def test_peer_with_entry_is_not_removed_when_not_heard_from() -> None:
    clock = ManualClock(1000.0)
    gateway_session = session(clock)
    gateway_session.update_peer(Peer("d-2", "x", "127.0.0.1", 1))
    clock.advance(100.0)
    gateway_session.remove_expired_peers()
    assert "d-2" in gateway_session.peers_by_name


def test_settings_reload_applies_all_but_restart_only_settings() -> None:
    clock = ManualClock(1000.0)
    gateway_session = session(clock)
    for _ in range(4):
        gateway_session.retry_budget.record_request("s", gateway_session.now_s)
    changed = replace(
        gateway_session.settings,
        zone="b",
        drain=timedelta(seconds=9),
        retries=RetryRules(0.0, 0.0, 10.0),
    )
    gateway_session.apply_settings(changed)
    assert gateway_session.settings.zone == "a"
    assert gateway_session.settings.drain == timedelta(seconds=9)
    assert not gateway_session.retry_budget.try_acquire("s", 1, gateway_session.now_s)
