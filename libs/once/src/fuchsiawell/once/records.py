"""Records of never-repeat requests, what is decided from them, and what a hand-over carries."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum, auto, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.core import NotRunReason, ShardId
    from fuchsiawell.once.minted import Tenure, TenureSet
    from fuchsiawell.once.places import Places

__all__ = [
    "Conflict",
    "Decision",
    "FoundIntent",
    "HandOver",
    "HandedRecord",
    "HandedScope",
    "Hold",
    "InProgress",
    "JournalsRead",
    "KeptAnswer",
    "NotOpen",
    "Record",
    "RecordState",
    "Refuse",
    "Replay",
    "Run",
    "Scope",
    "Stopped",
    "StoppedBy",
    "UnknownBefore",
]


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Hold a whole answer for resends."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Return the bytes that count against the ledger's bound."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


@dataclass(frozen=True, slots=True)
class Scope:
    """Name the keys of a shard, or one key that differs from the rest of its shard."""

    shard: ShardId
    key: str | None = None


@dataclass(slots=True, eq=False)
class Hold:
    """Hold the right to take never-repeat work of one scope; a closed one is never reopened."""

    tenures: TenureSet
    unjournaled_until_s: float = 0.0  # until then a lost leader may have run any free-form id
    open: bool = True


@unique
class RecordState(Enum):
    """Say how far a request got."""

    RECEIVED = auto()
    INTENT = auto()  # the intent is durable, or none is needed
    SENT = auto()
    ANSWERED = auto()
    UNKNOWN = auto()
    NOT_RUN = auto()  # told so; kept only while an earlier copy may still arrive


@dataclass(slots=True, eq=False)
class Record:
    """Hold what the leader knows of one id."""

    identity: bytes
    shard: ShardId
    key: str
    content: bytes
    caller: bytes
    expires_s: float
    state: RecordState
    hold: Hold | None = None  # under which it was received; none for records handed over
    answer: KeptAnswer | None = None
    refused: NotRunReason | None = None

    @property
    def in_progress(self) -> bool:
        """Tell whether its end is still to come."""
        return self.unsent or self.state is RecordState.SENT

    @property
    def unsent(self) -> bool:
        """Tell whether no byte was handed to a connection."""
        return self.state in (RecordState.RECEIVED, RecordState.INTENT)


@dataclass(frozen=True, slots=True)
class Run:
    """Run it; with `needs_intent`, only once the intent is durable."""

    ticket: Record
    needs_intent: bool


@dataclass(frozen=True, slots=True)
class Replay:
    """Pass the kept answer on."""

    answer: KeptAnswer


@dataclass(frozen=True, slots=True)
class InProgress:
    """Wait for the end of the first copy and tell the same."""

    ticket: Record


@dataclass(frozen=True, slots=True)
class UnknownBefore:
    """Tell outcome unknown, and never run it."""

    detail: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """Refuse as not run: the id names other content, whose answer is not for this caller."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse as not run: no copy of this id ran."""

    reason: NotRunReason
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class NotOpen:
    """Wait until evidence of earlier leaders is in; without it nothing can be proved of this id."""


Decision = Run | Replay | InProgress | UnknownBefore | Conflict | Refuse | NotOpen


@unique
class StoppedBy(Enum):
    """Say why an earlier leader of a scope can run nothing more."""

    FENCED = auto()  # the server confirmed a grant of a higher fence
    LAPSED = auto()  # the server does not check, and right, deadline and margin have passed
    NEVER_LED = auto()  # the assignment record shows no earlier leader


@dataclass(frozen=True, slots=True)
class Stopped:
    """State since when, on this host's monotonic clock, earlier leaders can run nothing more."""

    how: StoppedBy
    at_s: float


@dataclass(frozen=True, slots=True)
class FoundIntent:
    """Hold an intent that another leader's journal showed."""

    identity: bytes
    content: bytes
    place: bytes  # of `place_of`
    resend_window_s: float


@dataclass(frozen=True, slots=True)
class JournalsRead:
    """Hold what the journals of the cell held, own entries left out, read since `started_s`."""

    started_s: float
    intents: tuple[FoundIntent, ...] = ()
    unjournaled_s_by_shard: dict[ShardId, float] = field(default_factory=dict)

    def unjournaled_s(self, scope: Scope) -> float:
        """Return for how long earlier leaders may have run any free-form id of the scope.

        A single key may have been in any shard of its service.
        """
        if scope.key is None:
            return self.unjournaled_s_by_shard.get(scope.shard, 0.0)
        service = scope.shard.service
        windows = self.unjournaled_s_by_shard.items()
        return max((s for shard, s in windows if shard.service == service), default=0.0)

    def only(self, places: Places) -> JournalsRead:
        """Return the same without intents of keys that lie elsewhere."""
        intents = tuple(intent for intent in self.intents if places.covers(intent.place))
        return replace(self, intents=intents)


@dataclass(frozen=True, slots=True)
class HandedRecord:
    """Hold a record as it travels; `answer` is none where the end is not known or not kept."""

    identity: bytes
    shard: ShardId
    key: str
    content: bytes
    caller: bytes
    expires_in_s: float
    state: RecordState  # ANSWERED, UNKNOWN or NOT_RUN
    answer: KeptAnswer | None
    refused: NotRunReason | None


@dataclass(frozen=True, slots=True)
class HandedScope:
    """Hold the ids that can be vouched for in one scope that was closed for good."""

    scope: Scope
    tenures: tuple[Tenure, ...]  # offsets relative to the sender's clock
    unjournaled_for_s: float


@dataclass(frozen=True, slots=True)
class HandOver:
    """Hold all that a leader knows of scopes that it closed for good."""

    scopes: tuple[HandedScope, ...]
    records: tuple[HandedRecord, ...]
    found: tuple[FoundIntent, ...]
    sent_s: float  # the sender's monotonic clock
