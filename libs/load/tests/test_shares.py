from __future__ import annotations

from fuchsiawell.core import RequestId
from fuchsiawell.load.admission import Entry
from fuchsiawell.load.shares import Shares


def entry(kind: str, caller: str, deadline_s: float = 1.0) -> Entry:
    return Entry(RequestId("r"), kind, caller, deadline_s)


def shares_of(*entries: Entry) -> Shares:
    shares = Shares()
    for each in entries:
        shares.add(each, 0.1)
    return shares


def test_the_latest_of_the_heaviest_caller_gives_way() -> None:
    early, late = entry("a", "heavy", 1.0), entry("a", "heavy", 2.0)
    shares = shares_of(early, late, entry("a", "light", 1.0))
    assert shares.victim(entry("a", "new", 3.0), 0.1) is late
    assert shares.victim(entry("a", "new", 1.5), 0.1) is early
    assert shares.victim(entry("a", "heavy", 3.0), 0.1) is None


def test_the_heaviest_kind_gives_way_before_a_heavy_caller_of_another() -> None:
    many = [entry("a", f"c{number}") for number in range(4)]
    shares = shares_of(*many, entry("b", "x"), entry("b", "x"))
    victim = shares.victim(entry("b", "new", 3.0), 0.1)
    assert victim in many


def test_nothing_gives_way_to_an_equal_share() -> None:
    shares = shares_of(entry("a", "one"), entry("b", "two"))
    assert shares.victim(entry("a", "one", 3.0), 0.1) is None
    assert Shares().victim(entry("a", "one"), 0.1) is None


def test_what_left_counts_no_more() -> None:
    gone, left = entry("a", "heavy"), entry("a", "heavy")
    shares = shares_of(gone, left, entry("a", "other"))
    shares.remove(gone)
    shares.remove(left)
    victim = shares.victim(entry("a", "heavy", 3.0), 0.01)
    assert victim is not None
    assert victim.caller == "other"
