"""Never-repeat requests at their leader: the ledger, its journal and the scopes it holds."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

from fuchsiawell.config import IdStyle
from fuchsiawell.core import Answered, NotRun, NotRunReason, Step, Unknown
from fuchsiawell.daemon.http_fields import field
from fuchsiawell.daemon.leader.once_answers import id_offer, reply_kept
from fuchsiawell.daemon.leader.once_hand_over import HandOvers
from fuchsiawell.daemon.leader.once_scopes import OnceScopes
from fuchsiawell.daemon.leader.once_windows import lingers_s, runs_unjournaled, window_s
from fuchsiawell.once import (
    ANONYMOUS,
    Attempt,
    Journal,
    Ledger,
    Mint,
    OnceRequest,
    OnceRunner,
    OutagePolicy,
    content_digest,
    journal_key,
)
from fuchsiawell.transport import CHUNK_BYTES

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiawell.config import Kind
    from fuchsiawell.core import DaemonId, Deadline, Outcome, ShardId
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.leader.authority import Authority
    from fuchsiawell.daemon.leader.sending import FirstPart
    from fuchsiawell.once import Exchanged
    from fuchsiawell.platform import Store
    from fuchsiawell.transport import Peers, RequestHead, ServerExchange

__all__ = ["OnceCall", "OnceService"]


HAND_OVER_S = 1.5
HAND_OVER_POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class OnceCall:
    """Hold one copy of a never-repeat request as it reached the leader."""

    exchange: ServerExchange
    kind: Kind
    shard: ShardId
    deadline: Deadline
    first: FirstPart


class OnceService:
    """Own everything by which this daemon runs each never-repeat request at most once."""

    def __init__(
        self,
        context: Context,
        state: CellState,
        store: Store,
        authority: Authority,
        peers: Peers | None = None,
    ) -> None:
        self._context = context
        self._state = state
        own, clock = context.settings.daemon, context.clock
        nonce = blake2b(f"{own}{context.ids.new()}".encode(), digest_size=8).digest()
        secret = blake2b(f"{own}{context.ids.new()}{context.ids.new()}".encode()).digest()
        self._ledger = Ledger(clock, Mint(nonce, secret[:32]))
        key = journal_key(context.settings.cell, own)
        self._journal = Journal(store, key, nonce, clock, on_deposed=self._deposed)
        self._authority = authority
        self._runner = OnceRunner(self._ledger, self._journal, clock, self._may_act, own)
        self._hand_overs = HandOvers(context, state, self._ledger, peers)
        self._scopes = OnceScopes(
            context,
            state,
            authority,
            self._ledger,
            self._journal,
            self._runner,
            self._hand_overs,
        )

    def start(self) -> None:
        """Begin to open scopes."""
        self._scopes.start()

    async def handed_over(self) -> None:
        """Wait, a bounded time, until the next leaders have asked for all that is known here.

        They ask once their own grants are in force, a little after leadership was given away.
        """
        give_up_at_s = self._context.clock.monotonic() + HAND_OVER_S
        while self._scopes.any_open or self._hand_overs.waiting:
            if self._context.clock.monotonic() >= give_up_at_s:
                self._context.log.warning("left without all hand-overs", step="leave")
                return
            await asyncio.sleep(HAND_OVER_POLL_S)

    async def stop(self) -> None:
        """Close the ledger and the journal, once no request is left."""
        await self._scopes.stop()
        await self._journal.close()

    def on_control(self, sender: DaemonId, kind: str, body: Any) -> None:
        """Take a question or an answer of another leader."""
        self._hand_overs.on_control(sender, kind, body)

    async def serve(
        self, call: OnceCall, exchange: Callable[[Callable[[], bool]], Awaitable[Exchanged]]
    ) -> Outcome | None:
        """Run the request or tell what is known of it; `None` once an answer was sent."""
        head = call.exchange.head
        if head.idempotency_key is None:
            return await self._offer_id(call)
        result = await self._runner.run(self._request(call), call.deadline, exchange)
        if not isinstance(result.outcome, Answered):
            return result.outcome
        if result.answer is not None:
            reply_kept(call.exchange, result.answer, self._issue(call))
            return None
        if call.exchange.replied:
            return None
        own = self._context.settings.daemon
        return Unknown(Step.ANSWER, own, "it ran; its answer was too long to be kept")

    async def _offer_id(self, call: OnceCall) -> Outcome | None:
        key, own = call.exchange.head.key, self._context.settings.daemon
        if call.kind.id_style is not IdStyle.MINTED:
            return NotRun(NotRunReason.ID_REQUIRED, Step.ADMIT, own)
        issued = await self._runner.issue(call.shard, key, call.deadline)
        if issued is None:
            return NotRun(NotRunReason.NOT_READY, Step.ADMIT, own)
        reply_kept(call.exchange, id_offer(), issued)
        return None

    def _issue(self, call: OnceCall) -> str | None:
        if call.kind.id_style is not IdStyle.MINTED:
            return None
        return self._ledger.issue(call.shard, call.exchange.head.key)

    def _request(self, call: OnceCall) -> OnceRequest:
        head, kind = call.exchange.head, call.kind
        continues = runs_unjournaled(kind)
        return OnceRequest(
            head.service,
            head.key,
            call.shard,
            head.idempotency_key or "",
            _content(head, call.first),
            window_s(kind),
            _caller(head),
            OutagePolicy.GO_ON if continues and self._checks_fence(head) else OutagePolicy.REFUSE,
            Attempt.FIRST if head.stated_first else Attempt.UNMARKED,
            lingers_s(kind),
        )

    def _checks_fence(self, head: RequestHead) -> bool:
        configuration = self._state.configuration
        service = configuration and configuration.services_by_name.get(head.service)
        return bool(service and service.checks_fence)

    def _may_act(self, shard: ShardId) -> bool:
        fence = self._authority.permit(shard)
        return not isinstance(fence, NotRunReason) and self._scopes.is_open_under(shard, fence)

    def _deposed(self) -> None:
        self._context.log.warning("journal written by another process", step="intent")
        self._ledger.close_all()


def _content(head: RequestHead, first: FirstPart) -> bytes:
    """Return the digest of the request; of a long body, its first part and its length count."""
    body = first.chunk
    if not first.end:
        length = field(head.headers, b"content-length") or ""
        body = first.chunk[:CHUNK_BYTES] + length.encode()
    return content_digest(head.service, head.kind, head.method, head.target, body)


def _caller(head: RequestHead) -> bytes:
    credentials = field(head.headers, b"authorization")
    return ANONYMOUS if credentials is None else blake2b(credentials.encode()).digest()[:16]
