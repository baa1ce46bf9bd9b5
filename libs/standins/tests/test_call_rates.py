from __future__ import annotations

from fuchsiawell.core import ManualClock
from fuchsiawell.platform import CallKind
from fuchsiawell.standins.call_rates import CallRates


def test_whole_seconds_are_counted_idle_ones_included() -> None:
    clock = ManualClock(100.5)
    rates = CallRates(clock)
    rates.add(CallKind.GET)
    rates.add(CallKind.PUT)
    assert rates.last_seconds() == []
    clock.advance(2.0)
    rates.add(CallKind.GET)
    clock.advance(1.0)
    assert rates.last_seconds() == [{CallKind.GET: 1, CallKind.PUT: 1}, {}, {CallKind.GET: 1}]
    clock.advance(1000.0)
    rates.add(CallKind.GET)
    assert rates.last_seconds() == []
