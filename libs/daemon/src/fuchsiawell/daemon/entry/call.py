"""One caller's request, from its path to the last byte of its answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err

from fuchsiawell.config import IdStyle
from fuchsiawell.core import (
    Answered,
    Deadline,
    FuchsiawellError,
    Header,
    NotRun,
    NotRunReason,
    Step,
)
from fuchsiawell.daemon.entry.asgi import CONNECTION_EXTENSION
from fuchsiawell.daemon.entry.body import CallerBody
from fuchsiawell.daemon.entry.forward import Reply
from fuchsiawell.daemon.entry.limits import RETRY_AFTER_S
from fuchsiawell.daemon.entry.refusals import outcome_page
from fuchsiawell.daemon.entry.target import Target, parse_target
from fuchsiawell.daemon.http_fields import field, passed_on
from fuchsiawell.once import Attempt, outcome_told
from fuchsiawell.transport import BodyCutError, RequestHead

if TYPE_CHECKING:
    from fuchsiawell.config import Kind
    from fuchsiawell.core import Outcome, RequestId
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.entry.asgi import CallerConnection, Receive, Scope, Send
    from fuchsiawell.daemon.entry.forward import Forwarder
    from fuchsiawell.daemon.entry.limits import CallerLimits
    from fuchsiawell.daemon.log_budget import LogBudget
    from fuchsiawell.daemon.metrics import Metrics
    from fuchsiawell.transport import Headers

__all__ = ["Call", "CallerGoneError", "Shared"]

MS_PER_S = 1000
MAX_ID_BYTES = 255  # a longer idempotency key is refused


class CallerGoneError(FuchsiawellError):
    """Report that the caller's connection must be dropped, as its answer was cut."""


@dataclass(frozen=True, slots=True)
class Shared:
    """Hold what all requests of a daemon share."""

    metrics: Metrics
    limits: CallerLimits
    refusals: LogBudget


class Call:
    """Serve one request of a caller."""

    def __init__(
        self,
        context: Context,
        state: CellState,
        forwarder: Forwarder,
        shared: Shared,
        request_id: RequestId,
        asgi: tuple[Scope, Receive, Send],
    ) -> None:
        self._context = context
        self._state = state
        self._forwarder = forwarder
        self._shared = shared
        self._entered_as: str | None = None  # the caller that this request counts for
        self._names = ("", "")  # of service and kind, once they are known to exist
        self._request_id = request_id
        self._scope, self._receive, self._send = asgi
        self.caller_gone = False

    async def serve(self) -> None:
        """Answer the caller with a whole answer, a proof of not run, or unknown."""
        started_s = self._context.clock.monotonic()
        connection = self._watch_caller()
        outcome: Outcome | None = None
        try:
            reply = await self._ask()
            if isinstance(reply, Reply):
                await self._pass_on(reply)
                outcome = Answered(reply.head.status)
            else:
                await self._describe(reply)
                outcome = reply
        finally:
            if self._entered_as is not None:
                self._shared.limits.leave(self._entered_as)
            self._measure(outcome, self._context.clock.monotonic() - started_s)
            if connection is not None:
                connection.on_lost = None

    def _measure(self, outcome: Outcome | None, waited_s: float) -> None:
        if outcome is None:
            self._shared.metrics.count_cut()
        else:
            service, kind = self._names
            self._shared.metrics.record(service, kind, outcome, waited_s)

    def _watch_caller(self) -> CallerConnection | None:
        extensions = self._scope.get("extensions") or {}
        connection: CallerConnection | None = extensions.get(CONNECTION_EXTENSION)
        task = asyncio.current_task()
        if connection is not None and task is not None:
            connection.on_lost = lambda: self._cancel(task)
        return connection

    def _cancel(self, task: asyncio.Task[None]) -> None:
        self.caller_gone = True
        task.cancel()

    async def _ask(self) -> Reply | Outcome:
        own = self._context.settings.daemon
        parsed = parse_target(self._scope["raw_path"])
        if isinstance(parsed, Err):
            return NotRun(NotRunReason.MALFORMED, Step.ACCEPT, own)
        target = parsed.ok_value
        kind = self._kind(target)
        if isinstance(kind, NotRun):
            return kind
        self._names = (target.service, target.kind)
        headers: Headers = self._scope["headers"]
        budget_s = self._budget_s(headers, kind)
        if budget_s is None:
            return NotRun(NotRunReason.MALFORMED, Step.ACCEPT, own)
        id = field(headers, Header.IDEMPOTENCY_KEY.encode())
        if id is not None and not 0 < len(id) <= MAX_ID_BYTES:
            return NotRun(NotRunReason.MALFORMED, Step.ACCEPT, own)
        if id is None and not kind.repeatable and kind.id_style is not IdStyle.MINTED:
            return NotRun(NotRunReason.ID_REQUIRED, Step.ACCEPT, own)
        head = self._head(target, headers, budget_s, id)
        reply = await self._within_limits(head, kind)
        return reply if isinstance(reply, Reply) else outcome_told(reply, _attempt(head, kind))

    async def _within_limits(self, head: RequestHead, kind: Kind) -> Reply | Outcome:
        own = self._context.settings.daemon
        if not self._shared.limits.enter(head.caller):
            return NotRun(NotRunReason.CALLER_LIMIT, Step.ACCEPT, own, RETRY_AFTER_S)
        self._entered_as = head.caller
        idle_s = self._context.settings.limits.body_idle_timeout_s
        headers: Headers = self._scope["headers"]
        body = CallerBody(self._receive, headers, kind.max_body_bytes, idle_s, own)
        refused = await body.start()
        if refused is not None:
            return refused
        deadline = Deadline.after(self._context.clock, head.deadline_s)
        return await self._forwarder.forward(head, body, deadline, kind.repeatable)

    def _kind(self, target: Target) -> Kind | NotRun:
        own = self._context.settings.daemon
        configuration = self._state.configuration
        if configuration is None:
            return NotRun(NotRunReason.NOT_READY, Step.ACCEPT, own, 1.0)
        if target.service not in configuration.services_by_name:
            return NotRun(NotRunReason.UNKNOWN_SERVICE, Step.ACCEPT, own)
        kind = configuration.kind(target.service, target.kind)
        return kind or NotRun(NotRunReason.UNKNOWN_KIND, Step.ACCEPT, own)

    def _budget_s(self, headers: Headers, kind: Kind) -> float | None:
        asked = field(headers, Header.DEADLINE_MS.encode())
        if asked is None:
            return kind.deadline_s
        if not asked.isascii() or not asked.isdigit():
            return None
        return min(kind.deadline_s, int(asked) / MS_PER_S)

    def _head(
        self, target: Target, headers: Headers, budget_s: float, id: str | None
    ) -> RequestHead:
        query = self._scope["query_string"]
        path = self._scope["raw_path"].decode("latin-1")
        return RequestHead(
            self._request_id,
            target.service,
            target.kind,
            target.key,
            self._scope["method"],
            f"{path}?{query.decode('latin-1')}" if query else path,
            passed_on(headers),
            budget_s,
            id,
            self._caller(headers),
            stated_first=field(self._scope["headers"], Header.ATTEMPT.encode()) == "1",
        )

    def _caller(self, headers: Headers) -> str:
        """Return the IP number of the caller, as the balancer in front tells it if there is one."""
        client = self._scope.get("client")
        address = str(client[0]) if client else ""
        if address in self._context.settings.balancers:
            forwarded = field(headers, b"x-forwarded-for")
            return forwarded.rpartition(",")[2].strip() if forwarded else address
        return address

    async def _pass_on(self, reply: Reply) -> None:
        exchange = reply.exchange
        headers = [*reply.head.headers, (Header.REQUEST_ID.encode(), self._request_id.encode())]
        if field(headers, Header.OUTCOME.encode()) is None:
            headers.append((Header.OUTCOME.encode(), b"answered"))
        start = {"type": "http.response.start", "status": reply.head.status, "headers": headers}
        try:
            await self._send(start)
            whole = exchange.whole
            await self._send_body(exchange.take_body(), more=not whole)
            while not whole:
                chunk = await exchange.next_chunk()
                whole = not chunk
                await self._send_body(chunk, more=not whole)
        except BodyCutError as error:
            raise CallerGoneError(Step.ANSWER, error.peer, error.detail) from error
        finally:
            exchange.close()

    async def _send_body(self, chunk: bytes, more: bool) -> None:
        await self._send({"type": "http.response.body", "body": chunk, "more_body": more})

    async def _describe(self, outcome: Outcome) -> None:
        page = outcome_page(outcome, self._request_id)
        self._shared.refusals.event(
            "refused",
            outcome=outcome,
            request=self._request_id,
            path=self._scope["path"],
        )
        await self._send(
            {"type": "http.response.start", "status": page.status, "headers": page.headers}
        )
        await self._send_body(page.body, more=False)


def _attempt(head: RequestHead, kind: Kind) -> Attempt:
    if kind.repeatable:
        return Attempt.REPEATABLE
    return Attempt.FIRST if head.stated_first else Attempt.UNMARKED
