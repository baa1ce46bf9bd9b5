"""Daemons that break a promise each, to show that the soak catches them.

`python mutants.py NAME` runs such a daemon; `make soak-mutants` soaks each until it is caught.
"""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, Any

from fuchsiawell.adapter import settings_path
from fuchsiawell.adapter.run import run_daemon
from fuchsiawell.gateway.application import Application
from fuchsiawell.gateway.control.granter import Granter
from fuchsiawell.gateway.execute import forwarder
from fuchsiawell.gateway.execute.forwarder import ClientRequest
from fuchsiawell.gateway.execute.refusal import Refusal, not_executed
from fuchsiawell.httpio import Exchange
from fuchsiawell.shards import GrantExpiryTracker

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["MUTANTS"]


def _repeat_all() -> None:
    """Work that must not repeat is repeated."""
    ClientRequest.idempotent = property(lambda self: True)  # type: ignore[method-assign, assignment]


def _lie() -> None:
    """What may have run is told as not run."""

    def told(reason: str) -> Refusal:
        return not_executed(reason, 0.5)

    forwarder.failed = told
    forwarder.timed_out = told


def _pass_strays_on() -> None:
    """Any answer on the connection is taken for the request's own."""
    original = Exchange.read_response_head

    async def any_head(self: Exchange, belongs: Callable[[Any], bool]) -> Any:
        return await original(self, lambda head: belongs(head) or True)

    Exchange.read_response_head = any_head  # type: ignore[method-assign]

    def keep(self: Exchange) -> bool:
        # What came after the answer is left for the next request.
        self._channel._buffer[:0] = self._reader.trailing_data[0]
        return self._request_sent and self._response_complete and not self._must_close

    Exchange.reusable = property(keep)  # type: ignore[method-assign, assignment]


def _move_early() -> None:
    """Keys of a silent server are given away before its grants have run out."""
    GrantExpiryTracker.grants_expired_at = lambda self, life, now_s: now_s  # type: ignore[method-assign]
    GrantExpiryTracker.release_complete_at = lambda self, life, now_s: now_s  # type: ignore[method-assign]


def _die_at_stop() -> None:
    """The order to stop ends the process with requests in hand."""

    async def stop(self: Application) -> None:
        raise SystemExit(3)

    Application.stop = stop  # type: ignore[method-assign]


def _grant_once() -> None:
    """After a granter is lost nobody else grants."""
    original = Granter._win_election
    won: list[bool] = []

    async def win(self: Granter) -> bool:
        if won or not self._session.settings.daemon.endswith("1"):
            return False
        won.append(True)
        return await original(self)

    Granter._win_election = win  # type: ignore[method-assign]


MUTANTS = {
    "repeat-all": _repeat_all,
    "lie": _lie,
    "pass-strays-on": _pass_strays_on,
    "move-early": _move_early,
    "die-at-stop": _die_at_stop,
    "grant-once": _grant_once,
}


if __name__ == "__main__":
    MUTANTS[sys.argv[1]]()
    asyncio.run(run_daemon(settings_path()))
