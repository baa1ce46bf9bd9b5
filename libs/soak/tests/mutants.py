"""Mutant daemons, each of which violates an invariant of the soak on purpose.

`python mutants.py NAME` runs one; `make soak-mutants` checks that the soak catches each.
"""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, Any

from fuchsiawell.adapter import settings_path
from fuchsiawell.adapter.run import run_daemon
from fuchsiawell.balance import RateLimits, Reachability, ServerRests
from fuchsiawell.gateway.application import Application
from fuchsiawell.gateway.control.evacuations import Evacuations
from fuchsiawell.gateway.control.granter import Granter
from fuchsiawell.gateway.control.recollection import Recollection
from fuchsiawell.gateway.execute import forwarder
from fuchsiawell.gateway.execute.forwarder import ClientRequest
from fuchsiawell.gateway.execute.refusal import Refusal, not_executed
from fuchsiawell.gateway.execute.relaying import Relaying
from fuchsiawell.gateway.ports import Store
from fuchsiawell.gateway.session.state import Session
from fuchsiawell.httpio import ClientConnection, Exchange
from fuchsiawell.shards import GrantExpiryTracker

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from fuchsiawell.gateway.ports import Item
    from fuchsiawell.gateway.session.state import Peer

__all__ = ["MUTANTS"]


def _repeat_all() -> None:
    """Treat every request as idempotent, so that non-idempotent requests are retried."""
    ClientRequest.idempotent = property(lambda self: True)  # type: ignore[method-assign, assignment]


def _lie() -> None:
    """Respond "not executed" although the request may have been executed."""

    def respond_not_executed(reason: str) -> Refusal:
        return not_executed(reason, 0.5)

    forwarder.bad_gateway = respond_not_executed
    forwarder.timed_out = respond_not_executed


def _pass_strays_on() -> None:
    """Accept any response on the connection as the response to the current request."""
    original = Exchange.read_response_head

    async def accept_any_head(self: Exchange, is_expected: Callable[[Any], bool]) -> Any:
        return await original(self, lambda head: is_expected(head) or True)

    Exchange.read_response_head = accept_any_head  # type: ignore[method-assign]

    def keep_connection(self: Exchange) -> bool:
        # Leave the bytes after the response for the next request.
        self._channel._buffer[:0] = self._reader.trailing_data[0]
        return self._request_sent and self._response_complete and not self._must_close

    Exchange.reusable = property(keep_connection)  # type: ignore[method-assign, assignment]

    def usable(self: ClientConnection) -> bool:
        return not self.channel.at_eof and not self.channel.closing

    ClientConnection.usable = property(usable)  # type: ignore[method-assign, assignment]


def _move_early() -> None:
    """Move the keys of an unresponsive server before its grants have expired."""
    GrantExpiryTracker.grants_expired_at = lambda self, _id, _ranges, now_s: now_s  # type: ignore[method-assign]
    GrantExpiryTracker.release_complete_at = lambda self, _id, _first, _last, now_s: now_s  # type: ignore[method-assign]


def _die_at_stop() -> None:
    """Exit on a stop request without finishing the requests in flight."""

    async def stop(self: Application) -> None:
        raise SystemExit(3)

    Application.stop = stop  # type: ignore[method-assign]


def _grant_once() -> None:
    """Never elect a second granter after the first one."""
    original = Granter._win_election
    elected: list[bool] = []

    async def win_election(self: Granter) -> bool:
        if elected or not self._session.settings.daemon.endswith("1"):
            return False
        elected.append(True)
        return await original(self)

    Granter._win_election = win_election  # type: ignore[method-assign]


def _ignore_limits() -> None:
    """Take no notice of the rate limits of servers."""
    RateLimits.rate_per_s = lambda self, backend_id, incarnation_id: None  # type: ignore[method-assign]


def _ignore_rests() -> None:
    """Take no notice of the rests that servers ask for."""
    ServerRests.record_named = lambda self, backend_id, incarnation_id, rest_s, now_s: 0.0  # type: ignore[method-assign]


def _ignore_leaving() -> None:
    """Take no notice of what servers say in their responses about leaving."""
    Session.record_leaving = lambda self, *_: False  # type: ignore[method-assign, assignment]


def _leave_zone_out() -> None:
    """Take no notice of the evacuation of one zone."""
    original = Evacuations.apply

    def apply(self: Evacuations, item: Item, unconfirmed_s: float) -> None:
        if not item.key.endswith("/z0"):
            original(self, item, unconfirmed_s)

    Evacuations.apply = apply  # type: ignore[method-assign]


def _never_relay() -> None:
    """Send no request through another daemon."""

    async def send_nowhere(self: Relaying, request: ClientRequest) -> None:
        request.may_relay = False

    Relaying.send = send_nowhere  # type: ignore[method-assign]


def _keep_granting() -> None:
    """Stay granter without reaching any server."""
    is_cut_off = Reachability.cut_off.fget

    def cut_off(self: Reachability) -> bool:
        asked_by_granter = sys._getframe(1).f_globals["__name__"] == Granter.__module__
        return not asked_by_granter and bool(is_cut_off(self))

    Reachability.cut_off = property(cut_off)  # type: ignore[method-assign, assignment]


def _ignore_era() -> None:
    """Take no notice of a store that comes back from an older copy."""
    Store.observe_era = lambda self, step, peer, era: None  # type: ignore[method-assign]


def _ask_nobody() -> None:
    """Ask no other daemon for what the store has forgotten."""

    async def ask(self: Recollection, peers: Collection[Peer]) -> dict[Peer, Any]:
        return {}

    Recollection._ask = ask  # type: ignore[method-assign]


MUTANTS = {
    "repeat-all": _repeat_all,
    "lie": _lie,
    "pass-strays-on": _pass_strays_on,
    "move-early": _move_early,
    "die-at-stop": _die_at_stop,
    "grant-once": _grant_once,
    "ignore-limits": _ignore_limits,
    "ignore-rests": _ignore_rests,
    "ignore-leaving": _ignore_leaving,
    "leave-zone-out": _leave_zone_out,
    "never-relay": _never_relay,
    "keep-granting": _keep_granting,
    "ignore-era": _ignore_era,
    "ask-nobody": _ask_nobody,
}


if __name__ == "__main__":
    MUTANTS[sys.argv[1]]()
    asyncio.run(run_daemon(settings_path()))
