from __future__ import annotations

from fuchsiawell.load.coalesce import Coalescer


def test_equal_reads_ride_on_the_one_that_waits() -> None:
    reads: Coalescer[str] = Coalescer()
    assert reads.join(b"pen-7", "a") is None
    assert reads.join(b"pen-7", "b") == "a"
    assert reads.join(b"pen-8", "c") is None
    assert reads.finish("a") == ("b",)
    assert reads.finish("c") == ()


def test_no_read_joins_one_that_was_sent() -> None:
    reads: Coalescer[str] = Coalescer()
    reads.join(b"pen-7", "a")
    reads.started("a")
    assert reads.join(b"pen-7", "b") is None
    assert reads.join(b"pen-7", "c") == "b"
    assert reads.finish("a") == ()
    assert reads.finish("b") == ("c",)


def test_a_member_may_leave_and_a_lead_goes_on_for_the_others() -> None:
    reads: Coalescer[str] = Coalescer()
    reads.join(b"pen-7", "a")
    assert not reads.answers_others("a")
    reads.join(b"pen-7", "b")
    assert reads.answers_others("a")
    assert reads.leave("b")
    assert not reads.leave("b")
    assert not reads.leave("a")
    assert not reads.answers_others("a")
