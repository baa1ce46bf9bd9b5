"""A leader's record of never-repeat requests, by which each id runs at most once."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fuchsiawell.core import FuchsiawellError, NotRunReason
from fuchsiawell.once.answers import KeptAnswers
from fuchsiawell.once.expiry import ExpiryWheel
from fuchsiawell.once.minted import (
    PREFIX,
    Foreign,
    Forged,
    FreeForm,
    Genuine,
    Mint,
    check_id,
    issue_id,
)
from fuchsiawell.once.records import (
    Conflict,
    Decision,
    FoundIntent,
    HandedRecord,
    HandOver,
    Hold,
    InProgress,
    JournalsRead,
    KeptAnswer,
    NotOpen,
    Record,
    RecordState,
    Refuse,
    Replay,
    Run,
    Scope,
    Stopped,
    StoppedBy,
    UnknownBefore,
)
from fuchsiawell.once.requests import MAX_ID_CHARS
from fuchsiawell.once.scopes import Scopes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiawell.core import Clock, ShardId
    from fuchsiawell.once.records import HandedScope
    from fuchsiawell.once.requests import OnceRequest

__all__ = ["Ledger", "LedgerError", "LedgerLimits"]


class LedgerError(FuchsiawellError):
    """Report a call that would break the order received, intent, sent, ended."""


@dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Bound the ledger's memory and the life of issued ids."""

    max_records: int = 40_000  # received, running, ended and found in journals
    max_refused: int = 10_000  # beyond those, of ids refused because of that bound
    max_answer_bytes: int = 8_000_000  # bodies beyond are dropped, oldest first; the fact stays
    issued_use_s: float = 300.0  # an issued id starts no work later than this
    issued_resend_s: float = 300.0  # and is remembered for this long after


class Ledger:
    """Decide for each copy of a never-repeat request whether it may run.

    Synchronous and without a clock of its own. All calls take constant time, but for those that
    open and close scopes.
    """

    def __init__(self, clock: Clock, mint: Mint, limits: LedgerLimits | None = None) -> None:
        self._clock = clock
        self._mint = mint
        self._limits = limits or LedgerLimits()
        self._records: dict[bytes, Record] = {}
        self._found: dict[bytes, tuple[FoundIntent, float]] = {}
        self._scopes = Scopes(mint)
        self._expiry = ExpiryWheel(clock.monotonic())
        self._answers = KeptAnswers(self._limits.max_answer_bytes)

    def __len__(self) -> int:
        """Return the number of ids that it remembers."""
        return len(self._records) + len(self._found)

    # -- one request ---------------------------------------------------------------------------

    def begin(self, request: OnceRequest) -> Decision:
        """Decide about one copy of a request; only `Run` may be sent."""
        if len(request.id) > MAX_ID_CHARS:
            return Refuse(NotRunReason.MALFORMED)
        now_s = self._clock.monotonic()
        self._expire(now_s)
        identity = request.identity
        record = self._records.get(identity)
        if record is not None:
            again = self._again(record, request, now_s)
            if again is not None:
                return again
            del self._records[identity]
        found = self._found.get(identity)
        if found is not None:
            same = found[0].content == request.content
            return UnknownBefore("sent by a leader that was lost") if same else Conflict()
        hold = self._scopes.find(request.shard, request.key)
        if hold is None:
            return NotOpen()
        return self._first(request, identity, hold, now_s)

    def intent_recorded(self, ticket: Record) -> None:
        """Note that the intent is durable."""
        self._expect(ticket, RecordState.RECEIVED)
        ticket.state = RecordState.INTENT

    def send(self, ticket: Record) -> bool:
        """Note that the next step hands bytes to a connection; false: it must not any more."""
        self._expect(ticket, RecordState.INTENT)
        if self._scopes.find(ticket.shard, ticket.key) is not ticket.hold:
            return False
        ticket.state = RecordState.SENT
        return True

    def answered(self, ticket: Record, answer: KeptAnswer | None) -> None:
        """Note the whole answer; none if it is too large to be kept."""
        self._expect(ticket, RecordState.SENT, RecordState.UNKNOWN)
        ticket.state = RecordState.ANSWERED
        if answer is not None and self._records.get(ticket.identity) is ticket:
            self._answers.keep(ticket, answer)

    def not_run(self, ticket: Record, reason: NotRunReason, quiet_s: float = 0.0) -> None:
        """Note a proof that it did not run; a copy that arrives after `quiet_s` may run.

        Until then every copy is refused, so that a late one cannot make the refusal false.
        """
        if ticket.state is RecordState.ANSWERED:
            raise LedgerError("not run", str(ticket.shard), "it was answered")
        if self._records.get(ticket.identity) is not ticket:
            return
        if quiet_s <= 0:
            del self._records[ticket.identity]
            return
        ticket.state = RecordState.NOT_RUN
        ticket.refused = reason
        ticket.expires_s = self._clock.monotonic() + quiet_s
        self._expiry.add(ticket.identity, ticket.expires_s)

    def unknown(self, ticket: Record) -> None:
        """Note that it was sent and its end will not be known."""
        self._expect(ticket, RecordState.SENT)
        ticket.state = RecordState.UNKNOWN

    def issue(self, shard: ShardId, key: str) -> str | None:
        """Return an id for a later request for `key`; none while its scope is not open."""
        hold = self._scopes.find(shard, key)
        if hold is None:
            return None
        now_s = self._clock.monotonic()
        return issue_id(self._mint, hold.tenures.current, shard.service, key, now_s)

    # -- scopes --------------------------------------------------------------------------------

    def is_open(self, shard: ShardId, key: str | None = None) -> bool:
        """Tell whether new never-repeat work of the shard, or of the key in it, is taken."""
        return self._scopes.find(shard, key) is not None

    def take_over(
        self, scopes: Iterable[Scope], stopped: Stopped, read: JournalsRead | None = None
    ) -> None:
        """Open scopes after an unclean loss, or such that nobody led before.

        An id that no journal shows may run only because earlier leaders had stopped for certain
        before the journals were read; `LedgerError` otherwise.
        """
        if stopped.how is StoppedBy.NEVER_LED:
            for scope in scopes:
                self._scopes.open(scope, (), 0.0)
            return
        if read is None or read.started_s < stopped.at_s:
            raise LedgerError("take over", stopped.how.name, "journals not read since it stopped")
        self._add_found(read.intents)
        now_s = self._clock.monotonic()
        for scope in scopes:
            self._scopes.open(scope, (), now_s + read.unjournaled_s(scope))

    def accept(self, given: HandOver, scope_by_old: dict[Scope, Scope] | None = None) -> None:
        """Open scopes with all that their earlier leader knew.

        The caller has checked that nobody led them between that leader and this one.
        `scope_by_old` renames a scope, as when a key was pinned or unpinned on the way.
        """
        now_s = self._clock.monotonic()
        shift_s = now_s - given.sent_s
        new_scope = scope_by_old or {}
        self._add_found(given.found)
        for handed in given.records:
            shard_wide, single = Scope(handed.shard), Scope(handed.shard, handed.key)
            scope = new_scope.get(single) or new_scope.get(shard_wide) or single
            self._add_handed(handed, scope.shard, now_s)
        for held in given.scopes:
            earlier = tuple(replace(t, offset_s=t.offset_s + shift_s) for t in held.tenures)
            until_s = now_s + held.unjournaled_for_s
            self._scopes.open(new_scope.get(held.scope, held.scope), earlier, until_s)

    def hand_over(self, scopes: Iterable[Scope]) -> HandOver:
        """Close scopes for good and return what their next leader must know.

        Scopes that are not open are left out.
        """
        closed = [self.close(scope) for scope in scopes]
        return self.give([held for held in closed if held is not None])

    def give(self, closed: Iterable[HandedScope]) -> HandOver:
        """Return what the next leader of closed scopes must know.

        What is still running is handed over as unknown.
        """
        now_s = self._clock.monotonic()
        self._expire(now_s)
        handed = tuple(closed)
        places = {(held.scope.shard, held.scope.key) for held in handed}
        records = tuple(
            self._handed(record, now_s)
            for record in self._records.values()
            if not record.unsent
            and ((record.shard, None) in places or (record.shard, record.key) in places)
        )
        return HandOver(handed, records, tuple(f for f, _ in self._found.values()), now_s)

    def close(self, scope: Scope) -> HandedScope | None:
        """Take no more work of a scope and send nothing more of it; none if it was not open."""
        return self._scopes.hand(scope, self._clock.monotonic())

    def close_all(self) -> None:
        """Close every scope, as when the right to act has lapsed."""
        self._scopes.close_all()

    # -- private -------------------------------------------------------------------------------

    def _again(self, record: Record, request: OnceRequest, now_s: float) -> Decision | None:
        if record.state is RecordState.NOT_RUN:
            return self._refused_before(record, request, now_s)
        if record.content != request.content:
            return Conflict()
        if record.caller != request.caller:
            return UnknownBefore("sent by another caller")
        if record.in_progress:
            return InProgress(record)
        if record.answer is not None:
            return Replay(record.answer)
        if record.state is RecordState.ANSWERED:
            return UnknownBefore("it ran; its answer is no longer kept")
        return UnknownBefore("sent before, and its end was not seen")

    def _refused_before(
        self, record: Record, request: OnceRequest, now_s: float
    ) -> Decision | None:
        if record.expires_s <= now_s or record.refused is None:
            return None
        # Each refusal that is told must hold for copies that were sent before it.
        record.expires_s = max(record.expires_s, now_s + request.quiet_s)
        if record.content != request.content:
            return Conflict()
        return Refuse(record.refused, record.expires_s - now_s)

    def _first(self, request: OnceRequest, identity: bytes, hold: Hold, now_s: float) -> Decision:
        expires_s = now_s + request.resend_window_s
        match check_id(request.id, hold.tenures, request.service, request.key, now_s):
            case Forged():
                return Refuse(NotRunReason.MALFORMED)
            case Foreign():
                return UnknownBefore("id issued under an earlier term")
            case Genuine(age_s):
                left_s = self._limits.issued_use_s - age_s
                if left_s + self._limits.issued_resend_s < 0:
                    return UnknownBefore("id older than anything remembered")
                if left_s < 0:
                    return Refuse(NotRunReason.ID_EXPIRED)
                expires_s = now_s + left_s + self._limits.issued_resend_s
            case FreeForm():
                if now_s < hold.unjournaled_until_s:
                    return UnknownBefore("a lost leader may have run it without a journal")
        if len(self) >= self._limits.max_records:
            return self._full(request, identity, now_s)
        return self._run(request, identity, hold, expires_s)

    def _full(self, request: OnceRequest, identity: bytes, now_s: float) -> Decision:
        full = NotRunReason.LEDGER_FULL
        if request.quiet_s > 0:
            if len(self) >= self._limits.max_records + self._limits.max_refused:
                return UnknownBefore("ledger full; an earlier copy may still arrive")
            self._remember(
                Record(
                    identity,
                    request.shard,
                    request.key,
                    request.content,
                    request.caller,
                    now_s + request.quiet_s,
                    RecordState.NOT_RUN,
                    refused=full,
                )
            )
        return Refuse(full, max(1.0, request.quiet_s, self._expiry.next_s() - now_s))

    def _run(self, request: OnceRequest, identity: bytes, hold: Hold, expires_s: float) -> Run:
        needs_intent = not request.id.startswith(PREFIX)
        state = RecordState.RECEIVED if needs_intent else RecordState.INTENT
        record = Record(
            identity,
            request.shard,
            request.key,
            request.content,
            request.caller,
            expires_s,
            state,
            hold,
        )
        self._remember(record)
        return Run(record, needs_intent)

    def _expect(self, ticket: Record, *states: RecordState) -> None:
        if ticket.state not in states:
            raise LedgerError("note", str(ticket.shard), f"record is {ticket.state.name}")

    def _remember(self, record: Record) -> None:
        self._records[record.identity] = record
        self._expiry.add(record.identity, record.expires_s)

    def _expire(self, now_s: float) -> None:
        for identity in self._expiry.sweep(now_s):
            self._forget(identity, now_s)

    def _forget(self, identity: bytes, now_s: float) -> None:
        found = self._found.get(identity)
        if found is not None and found[1] <= now_s:
            del self._found[identity]
        record = self._records.get(identity)
        if record is None:
            return
        if record.expires_s > now_s:
            self._expiry.add(identity, record.expires_s)
            return
        if record.in_progress:
            record.expires_s = now_s + 1
            self._expiry.add(identity, record.expires_s)
            return
        self._answers.drop(record)
        del self._records[identity]

    def _add_found(self, intents: tuple[FoundIntent, ...]) -> None:
        now_s = self._clock.monotonic()
        for intent in intents:
            expires_s = now_s + intent.resend_window_s
            self._found[intent.identity] = (intent, expires_s)
            self._expiry.add(intent.identity, expires_s)

    def _add_handed(self, handed: HandedRecord, shard: ShardId, now_s: float) -> None:
        known = self._records.get(handed.identity)
        if known is not None and (known.in_progress or known.answer is not None):
            known.shard = shard
            return
        if known is not None:
            self._answers.drop(known)
        record = Record(
            handed.identity,
            shard,
            handed.key,
            handed.content,
            handed.caller,
            now_s + handed.expires_in_s,
            handed.state,
            refused=handed.refused,
        )
        self._remember(record)
        if handed.answer is not None:
            self._answers.keep(record, handed.answer)

    def _handed(self, record: Record, now_s: float) -> HandedRecord:
        return HandedRecord(
            record.identity,
            record.shard,
            record.key,
            record.content,
            record.caller,
            max(0.0, record.expires_s - now_s),
            RecordState.UNKNOWN if record.in_progress else record.state,
            record.answer,
            record.refused,
        )
