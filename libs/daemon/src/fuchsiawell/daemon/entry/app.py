"""The callers' hot path as one ASGI endpoint."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from fuchsiawell.core import RequestId
from fuchsiawell.daemon.entry.call import Call, CallerGoneError, Shared
from fuchsiawell.daemon.entry.limits import CallerLimits
from fuchsiawell.daemon.log_budget import LogBudget
from fuchsiawell.daemon.metrics import Metrics

if TYPE_CHECKING:
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.entry.asgi import Receive, Scope, Send
    from fuchsiawell.daemon.entry.forward import Forwarder

__all__ = ["EntryApp"]

MAX_REFUSALS_LOGGED_PER_S = 50  # in an overload the log must not become the load


class EntryApp:
    """Answer callers over ASGI; `/{service}/{kind}/{key}[/rest]` on any method."""

    def __init__(self, context: Context, state: CellState, forwarder: Forwarder) -> None:
        self._context = context
        self._state = state
        self._forwarder = forwarder
        self.metrics = Metrics()
        self._shared = Shared(
            self.metrics,
            CallerLimits(context.settings.limits.max_requests_in_flight),
            LogBudget(context.log, context.clock, MAX_REFUSALS_LOGGED_PER_S),
        )
        # The server logs each dropped connection as an error of the application.
        logging.getLogger("uvicorn.error").addFilter(_not_a_dropped_connection)

    @property
    def in_flight(self) -> int:
        """Count the requests that were taken and have not ended."""
        return self._shared.limits.in_flight

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request; raise `CallerGoneError` to have its connection dropped."""
        if scope["type"] != "http":
            return
        call = Call(
            self._context,
            self._state,
            self._forwarder,
            self._shared,
            RequestId(self._context.ids.new()),
            (scope, receive, send),
        )
        try:
            await call.serve()
        except asyncio.CancelledError:
            if not call.caller_gone:
                raise


def _not_a_dropped_connection(record: logging.LogRecord) -> bool:
    error = record.exc_info[1] if record.exc_info else None
    return not isinstance(error, CallerGoneError)
