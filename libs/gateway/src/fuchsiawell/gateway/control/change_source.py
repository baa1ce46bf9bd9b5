"""Choose whether this daemon gets store changes from a hub or from the store itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.change_feed import FeedLostError
    from fuchsiawell.gateway.control.change_relay import ChangeRelay
    from fuchsiawell.gateway.control.hubs import HubSelector
    from fuchsiawell.gateway.session.state import Peer, Session

__all__ = ["ChangeSource"]

# How long a daemon watches the store itself after two hubs failed within this time: hubs that lost
# the store have detected it by then.
DIRECT_WATCH_S = 3.0
# How long a follower watches the store itself when it was the first to know of the store's return:
# hubs retry each 0.5 s.
RETURN_WATCH_S = 0.6
# A daemon to which the store does not respond gives a hub this time for the first confirmation: the
# time until a silent store connection is noticed and this must be below 3 s together.
FIRST_CONFIRMATION_S = 0.5
# A daemon begins to follow a hub only while its own knowledge is younger than this part of the time
# for which it may go on without a confirmation; otherwise it asks the store once before.
FEED_START_FRACTION = 0.7
# Longest time between attempts of a follower to reach a store that does not respond, from start to
# start, and the smallest part of it. The store's return must be known within 2 s. At the pace of
# hubs, 78 daemons make 200 calls per second.
FOLLOWER_RETRY_S, MIN_RETRY_FRACTION = 1.5, 0.85
# Timers may run this much early.
TIMER_SLACK_S = 0.001
# Delay before a follower asks the next hub meanwhile, which varies by 30 %.
ASK_INTERVAL_S = 0.4


class ChangeSource:
    """State of the choice: which hub failed, and whether the store responds to this daemon."""

    def __init__(self, session: Session, hubs: HubSelector, relay: ChangeRelay) -> None:
        self._session = session
        self._hubs = hubs
        self._relay = relay
        # Monotonic time from which this daemon follows a hub; None while it watches the store.
        self._follows_since_s: float | None = None
        self._uses_upstream = False
        self._direct_watch_until_s = float("-inf")
        # The hub of this group whose feed was lost, until the store itself has responded.
        self._lost_hub: Peer | None = None
        # When a hub of this group was last given up.
        self._given_up_s = float("-inf")
        # Whether the store did not respond to the last call, when it is called again, and how often
        # hubs were asked in vain meanwhile.
        self._outage = False
        self._next_attempt_s = float("-inf")
        self._failed_asks = 0
        # Calls to the store that failed one after the other, and whether a hub without a hub in its
        # group may ask the first group: once between two calls, not to delay them.
        self._failed_calls = 0
        self._may_ask_upstream = False

    def choose(self) -> Peer | None:
        """Return the hub to receive changes from; None to call the store."""
        hub = self._choose()
        if hub is None:
            self._follows_since_s = None
        elif self._follows_since_s is None:
            self._follows_since_s = self._session.now_s
        return hub

    def _choose(self) -> Peer | None:
        session, hubs = self._session, self._hubs
        self._uses_upstream = False
        if session.granter == session.settings.daemon:
            return None
        if self._outage and self._has_hub:
            if session.now_s >= self._next_attempt_s - TIMER_SLACK_S:
                return None
            candidates = hubs.group_hubs
            return candidates[self._failed_asks % len(candidates)] if candidates else None
        if self._lost_hub is not None or session.now_s < self._direct_watch_until_s:
            return None
        if self._follows_since_s is None and not self._outage:
            max_age_s = session.settings.max_store_age.total_seconds()
            if session.store_age_s > FEED_START_FRACTION * max_age_s:
                return None
        if self._has_hub:
            return hubs.hub
        if self._outage and not self._may_ask_upstream:
            return None
        self._uses_upstream = True
        return hubs.upstream(self._relay.follower_names)

    def follow_until_s(self) -> float:
        """Return the monotonic time until which the chosen hub must confirm something."""
        session = self._session
        until_s = session.current_until_s + session.settings.max_store_age.total_seconds()
        if self._outage and self._follows_since_s is not None:
            # The hub may know more than the store tells this daemon.
            until_s = max(until_s, self._follows_since_s + FIRST_CONFIRMATION_S)
            if self._has_hub:
                until_s = min(until_s, self._next_attempt_s)
        return until_s

    def on_feed_lost(self, hub: Peer, error: FeedLostError) -> float:
        """Use another source; return the time until which to wait before."""
        session = self._session
        self._follows_since_s = None
        if self._outage and not self._uses_upstream:
            self._failed_asks += 1
            return self._next_ask_s()
        session.log.warning("news feed lost", step=error.step, peer=error.peer, reason=error.reason)
        if self._uses_upstream:
            self._may_ask_upstream = False
            self._hubs.fail_upstream(hub.name, "change feed lost")
        else:
            self._lost_hub = hub
        return session.now_s

    def on_store_contact(self) -> None:
        """Record that the store itself has responded."""
        now_s = self._session.now_s
        self._failed_calls = 0
        if self._outage:
            self._outage = False
            if self._has_hub:
                self._direct_watch_until_s = now_s + RETURN_WATCH_S
        lost_hub, self._lost_hub = self._lost_hub, None
        if lost_hub is None:
            return
        # The store is there, so it is the hub that fails.
        if lost_hub == self._hubs.hub:
            self._hubs.fail_over("change feed lost")
        if now_s - self._given_up_s < DIRECT_WATCH_S:
            self._direct_watch_until_s = now_s + DIRECT_WATCH_S
        self._given_up_s = now_s

    def on_listing(self) -> None:
        """Find the group of this daemon before its first watch, which a hub may replace."""
        self._hubs.refresh()

    def on_confirmation(self) -> None:
        """Record that a hub has confirmed what this daemon knows."""
        self._outage = False

    def on_store_error(self, called_s: float, refused: bool) -> float | None:
        """Record a failed call; return when a follower goes on, None for other daemons."""
        self._outage, self._lost_hub = True, None
        self._failed_calls += 1
        # The first failure may be that of one connection.
        self._may_ask_upstream = self._failed_calls > 1
        if not self._has_hub:
            return None
        if self._failed_calls == 1 and not refused:
            # Only one connection may have been lost, and after the usual delay what this daemon
            # knows would be too old.
            self._next_attempt_s = self._session.now_s
            return self._next_attempt_s
        fraction = self._session.random.uniform(MIN_RETRY_FRACTION, 1.0)
        self._next_attempt_s = called_s + FOLLOWER_RETRY_S * fraction
        return self._next_ask_s()

    @property
    def _has_hub(self) -> bool:
        """Return whether this daemon follows a hub of its group if it can."""
        session = self._session
        return (
            session.granter != session.settings.daemon
            and not self._relay.has_followers
            and self._hubs.hub is not None
        )

    def _next_ask_s(self) -> float:
        delay_s = ASK_INTERVAL_S * self._session.random.uniform(0.7, 1.3)
        return min(self._next_attempt_s, self._session.now_s + delay_s)
