"""The callers' hot path as one ASGI endpoint."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from fuchsiawell.core import RequestId
from fuchsiawell.daemon.entry.call import Call, CallerGoneError
from fuchsiawell.daemon.metrics import Metrics

if TYPE_CHECKING:
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.entry.asgi import Receive, Scope, Send
    from fuchsiawell.daemon.entry.forward import Forwarder

__all__ = ["EntryApp"]


class EntryApp:
    """Answer callers over ASGI; `/{service}/{kind}/{key}[/rest]` on any method."""

    def __init__(self, context: Context, state: CellState, forwarder: Forwarder) -> None:
        self._context = context
        self._state = state
        self._forwarder = forwarder
        self.in_flight = 0
        self.metrics = Metrics()
        # The server logs each dropped connection as an error of the application.
        logging.getLogger("uvicorn.error").addFilter(_not_a_dropped_connection)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request; raise `CallerGoneError` to have its connection dropped."""
        if scope["type"] != "http":
            return
        self.in_flight += 1
        call = Call(
            self._context,
            self._state,
            self._forwarder,
            self.metrics,
            RequestId(self._context.ids.new()),
            (scope, receive, send),
        )
        try:
            await call.serve()
        except asyncio.CancelledError:
            if not call.caller_gone:
                raise
        finally:
            self.in_flight -= 1


def _not_a_dropped_connection(record: logging.LogRecord) -> bool:
    error = record.exc_info[1] if record.exc_info else None
    return not isinstance(error, CallerGoneError)
