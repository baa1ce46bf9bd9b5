from __future__ import annotations

from fuchsiawell.core import ManualClock, ServerId
from fuchsiawell.once.suspects import SuspectLimits, Suspects, suspect_digest

A, B = ServerId("a"), ServerId("b")
POISON, INNOCENT = suspect_digest("s", "k", b"poison"), suspect_digest("s", "k", b"fine")


class Watch:
    """Suspects with a clock."""

    def __init__(self, limits: SuspectLimits | None = None) -> None:
        self.clock = ManualClock()
        self.suspects = Suspects(self.clock, limits)

    def lose(self, server: ServerId, *digests: bytes) -> None:
        for digest in digests:
            self.suspects.broke(self.suspects.started(server, digest))
        self.suspects.server_lost(server)
        self.clock.advance(2)


def test_second_loss_alone_convicts_and_the_innocent_is_cleared() -> None:
    watch = Watch()
    watch.lose(A, POISON, INNOCENT)
    assert watch.suspects.suspects() == {POISON, INNOCENT}
    watch.suspects.answered(watch.suspects.started(B, INNOCENT))
    watch.lose(B, POISON)
    assert watch.suspects.convicted() == {POISON}
    assert not watch.suspects.is_suspect(INNOCENT)


def test_one_loss_convicts_nobody_even_of_a_single_request() -> None:
    watch = Watch()
    watch.lose(A, POISON)
    assert watch.suspects.convicted() == frozenset()


def test_servers_lost_together_convict_nobody() -> None:
    for first, second in ((A, B), (B, A)):
        watch = Watch()
        watch.lose(ServerId("c"), INNOCENT)
        flights = {A: INNOCENT, B: POISON}
        for server, digest in flights.items():
            watch.suspects.started(server, digest)
        watch.suspects.server_lost(first)
        watch.suspects.server_lost(second)
        assert watch.suspects.convicted() == frozenset()
        assert watch.suspects.is_suspect(INNOCENT)


def test_suspicion_and_conviction_travel_end_and_are_released() -> None:
    watch, other = Watch(), Watch()
    watch.lose(A, POISON)
    flight = watch.suspects.started(B, POISON)
    watch.suspects.broke(flight)
    other.suspects.take(watch.suspects.server_lost(B))
    assert other.suspects.convicted() == {POISON}
    watch.suspects.release(POISON)
    other.clock.advance(3600)
    assert watch.suspects.convicted() == other.suspects.convicted() == frozenset()


def test_a_request_without_an_answer_may_still_be_running() -> None:
    watch = Watch()
    watch.suspects.broke(watch.suspects.started(A, INNOCENT))
    assert watch.suspects.in_flight(A) == 1
    watch.clock.advance(6)
    assert watch.suspects.in_flight(A) == 0


def test_memory_is_bounded() -> None:
    watch = Watch(SuspectLimits(max_suspects=2, max_convicted=1))
    for digest in (b"1", b"2", b"3"):
        watch.suspects.suspect(digest)
        watch.suspects.convict(digest)
    assert watch.suspects.suspects() == {b"2", b"3"}
    assert watch.suspects.convicted() == {b"3"}
