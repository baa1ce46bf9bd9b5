"""One daemon's leadership of one backend server under one term, as a state machine."""

from __future__ import annotations

from enum import StrEnum, unique
from typing import TYPE_CHECKING

from transitions import Machine

from fuchsiawell.ownership.actions import (
    Action,
    Event,
    GrantInstalled,
    GrantLapsed,
    GrantRefused,
    GrantRenewed,
    InstallGrant,
    NoAnswer,
    ProbeAnswered,
    ProbeServer,
    ReleaseFailed,
    ReleaseShard,
    RenewGrant,
    ServerRefusedNewWork,
    ShardReleased,
)
from fuchsiawell.ownership.assignment import ServerRecord, ServerState
from fuchsiawell.ownership.evidence import (
    Fact,
    Released,
    ServerDraining,
    ServerLost,
    ServerReached,
    ServerReturned,
)
from fuchsiawell.ownership.membership import CLOCK_MARGIN

if TYPE_CHECKING:
    from collections.abc import Callable

    from transitions.core import TransitionConfigDict

    from fuchsiawell.core import ShardId
    from fuchsiawell.ownership.inflight import InFlight

__all__ = [
    "CALL_TIMEOUT_S",
    "DEADLINE_MARGIN_S",
    "DRAIN_S",
    "GRANT_TTL_S",
    "RENEW_S",
    "RUN_S",
    "LeadershipState",
    "ServerLeadership",
]

GRANT_TTL_S = 0.8  # a grant holds so long after the server's clock reading that it is based on
RUN_S = 1.1  # started work may run on so long after the same reading, through a short pause
RENEW_S = 0.25  # least time between two renewals
CALL_TIMEOUT_S = 0.3  # a call that is not answered by then counts as unanswered
RETRY_S = 0.1  # least time from a call without answer to the next; refusals come at once
PROBE_S = 0.4  # least time between two probes
LAPSE_MARGIN_S = 0.1  # beyond RUN_S before work counts as stopped; covers timer granularity
SERVER_SILENT_S = 1.5  # a server that answered nothing for so long is given up
UNREACHED_S = 1.0  # the same for one that never answered under this term
DRAIN_S = 2.0  # a leaving server gets no new work after this time
DEADLINE_MARGIN_S = 0.5  # beyond the longest deadline before unchecked work counts as over
RETURNED_ANSWERS = 3  # answers in a row after which a lost server counts as returned


@unique
class LeadershipState(StrEnum):
    """Say where a leadership stands."""

    ACQUIRING = "acquiring"  # no grant confirmed yet
    SERVING = "serving"
    SILENT = "silent"  # the grant lapsed unanswered; nothing is sent, and answers are awaited
    LOST = "lost"  # every grant is proved lapsed, and none follows under this term


_TRANSITIONS: list[TransitionConfigDict] = [
    {
        "trigger": "confirm",
        "source": [LeadershipState.ACQUIRING, LeadershipState.SILENT, LeadershipState.SERVING],
        "dest": LeadershipState.SERVING,
    },
    {
        "trigger": "miss",
        "source": LeadershipState.SERVING,
        "dest": LeadershipState.SILENT,
    },
    {
        "trigger": "give_up",
        "source": [LeadershipState.ACQUIRING, LeadershipState.SILENT],
        "dest": LeadershipState.LOST,
    },
]


class ServerLeadership:
    """Take over, serve, release and give up one server; sends nothing itself."""

    state: LeadershipState
    confirm: Callable[[], bool]  # these three are bound by the state machine
    miss: Callable[[], bool]
    give_up: Callable[[], bool]

    def __init__(
        self, record: ServerRecord, longest_deadline_s: float, inflight: InFlight, now_s: float
    ) -> None:
        self.record = record
        self.term = record.term
        self._settle_s = longest_deadline_s + DEADLINE_MARGIN_S
        self._inflight = inflight
        self._taken_over_s = now_s
        self._last_answer_s: float | None = None
        self._last_grant_sent_s = now_s
        self._last_work_s = now_s
        self._granted_until_s = float("-inf")
        self._draining_until_s = float("inf")
        self._refuses_new_work = False
        self._answers_in_row = 0
        self._last_call = 0
        self._call: Action | None = None
        self._call_sent_s = float("-inf")
        self._call_again_s = float("-inf")
        self._clock_ms: int | None = None
        self._clock_from_s = now_s
        self._clock_known = False
        self._wanted: dict[ShardId, int] = {}
        self._granted: dict[ShardId, int] | None = None
        self._moving: dict[ShardId, int] = {}
        self._moving_pins: frozenset[ShardId] = frozenset()
        self._releasing: set[ShardId] = set()
        self._released: dict[ShardId, int] = {}
        lost = record.state is ServerState.LOST
        Machine(
            model=self,
            states=LeadershipState,
            transitions=_TRANSITIONS,
            initial=LeadershipState.LOST if lost else LeadershipState.ACQUIRING,
            auto_transitions=False,
        )

    def apply(
        self,
        record: ServerRecord,
        wanted: dict[ShardId, int],
        moving: dict[ShardId, int],
        pins: frozenset[ShardId],
        now_s: float,
    ) -> None:
        """Take a newer record of the same term: shards to grant, and shards to release."""
        self.record = record
        self._wanted, self._moving, self._moving_pins = wanted, moving, pins
        self._released = {s: e for s, e in self._released.items() if moving.get(s) == e}
        if record.state is not ServerState.DRAINING:
            self._draining_until_s = float("inf")
        elif self._draining_until_s == float("inf"):
            self._draining_until_s = now_s + DRAIN_S

    def may_send(self, shard: ShardId, epoch: int, now_s: float) -> bool:
        """Tell whether work of the shard may start at the server at this instant."""
        if self.state is not LeadershipState.SERVING or now_s >= self._draining_until_s:
            return False
        if not self.record.checks_fence:
            return self._wanted.get(shard) == epoch
        granted = self._granted
        return (
            granted is not None
            and now_s < self._granted_until_s
            and granted.get(shard) == epoch
            and self._wanted.get(shard) == epoch
        )

    def on_work(self, now_s: float) -> None:
        """Note that work was sent to the server."""
        self._last_work_s = now_s

    def tick(self, now_s: float) -> list[Action]:
        """Return the calls that are due."""
        if self._call is not None and now_s - self._call_sent_s >= CALL_TIMEOUT_S:
            self._call = None
            self._on_no_answer()
        self._judge_silence(now_s)
        actions: list[Action] = []
        if self._call is None:
            call = self._next_call(now_s)
            if call is not None:
                self._call, self._call_sent_s = call, now_s
                actions.append(call)
        if self.state is LeadershipState.SERVING:
            actions.extend(self._releases(now_s))
        return actions

    def on_event(self, event: Event, now_s: float) -> None:
        """Take what came back; answers to calls that are no longer awaited change nothing."""
        match event:
            case ShardReleased(_, _, shard, epoch):
                self._releasing.discard(shard)
                if self._moving.get(shard) == epoch:
                    self._released[shard] = epoch
            case ReleaseFailed(_, _, shard, _):
                self._releasing.discard(shard)
            case ServerRefusedNewWork():
                self._refuses_new_work = True
            case _ if self._call is not None and event.call == self._last_call:
                self._on_answer(event, now_s)
            case _:
                pass

    def facts(self) -> set[Fact]:
        """Return what the controller must know of this server at present."""
        id, term, state = self.record.id, self.term, self.record.state
        facts: set[Fact] = {Released(shard, epoch) for shard, epoch in self._released.items()}
        if self.state is LeadershipState.LOST:
            if state is not ServerState.LOST:
                facts.add(ServerLost(id, term))
            elif self._answers_in_row >= RETURNED_ANSWERS:
                facts.add(ServerReturned(id, term))
        elif self.state is LeadershipState.SERVING and state is ServerState.JOINING:
            facts.add(ServerReached(id, term))
        if self._refuses_new_work:
            facts.add(ServerDraining(id, term))
        return facts

    def _next_call(self, now_s: float) -> Action | None:
        if self.state is LeadershipState.LOST or not self.record.checks_fence:
            return self._probe() if now_s - self._call_sent_s >= PROBE_S else None
        if not self._clock_known:
            return self._probe() if now_s >= self._call_again_s else None
        if self._granted != self._wanted or self.state is not LeadershipState.SERVING:
            self._last_grant_sent_s = now_s
            return self._install()
        if now_s - self._last_grant_sent_s >= RENEW_S:
            self._last_grant_sent_s = now_s
            return self._renew()
        return None

    def _probe(self) -> Action:
        record = self.record
        return ProbeServer(
            record.id, record.address, self.term, self._number(), record.checks_fence
        )

    def _install(self) -> Action:
        return InstallGrant(
            self.record.id,
            self.record.address,
            self.term,
            self._number(),
            self._clock_ms,
            GRANT_TTL_S,
            RUN_S,
            dict(self._wanted),
        )

    def _renew(self) -> Action:
        return RenewGrant(
            self.record.id,
            self.record.address,
            self.term,
            self._number(),
            self._clock_ms,
            GRANT_TTL_S,
            RUN_S,
        )

    def _number(self) -> int:
        self._last_call += 1
        return self._last_call

    def _on_answer(self, event: Event, now_s: float) -> None:
        call, self._call = self._call, None
        if isinstance(event, NoAnswer):
            self._on_no_answer()
            return
        self._last_answer_s = now_s
        self._answers_in_row += 1
        match event:
            case GrantInstalled() if isinstance(call, InstallGrant):
                self._granted = call.epochs_by_shard
                self._on_granted()
            case GrantRenewed():
                self._on_granted()
            case GrantLapsed() | GrantRefused():
                self._granted = None
            case ProbeAnswered() if not self.record.checks_fence:
                self._on_probe_answered()
            case _:
                pass
        if isinstance(event, ProbeAnswered | GrantInstalled | GrantRenewed | GrantLapsed):
            self._clock_ms, self._clock_known = event.clock_ms, True
            self._clock_from_s = self._call_sent_s

    def _on_no_answer(self) -> None:
        """Ask for a sign of life next: grants sent into silence would only put off their lapse."""
        self._answers_in_row = 0
        self._clock_known = False
        self._call_again_s = self._call_sent_s + RETRY_S

    def _on_granted(self) -> None:
        self._granted_until_s = self._clock_from_s + GRANT_TTL_S * (1 - CLOCK_MARGIN)
        self.confirm()

    def _on_probe_answered(self) -> None:
        if self.state is not LeadershipState.LOST:
            self.confirm()

    def _judge_silence(self, now_s: float) -> None:
        if self.state is LeadershipState.SERVING and now_s >= self._answer_missed_s():
            self.miss()
        if self.state in (LeadershipState.ACQUIRING, LeadershipState.SILENT):
            silent_s = now_s - self._heard_s()
            limit_s = UNREACHED_S if self._last_answer_s is None else SERVER_SILENT_S
            if silent_s >= limit_s and now_s >= self._all_over_s():
                self.give_up()

    def _answer_missed_s(self) -> float:
        if self.record.checks_fence:
            return self._granted_until_s
        return self._heard_s() + SERVER_SILENT_S

    def _heard_s(self) -> float:
        return self._taken_over_s if self._last_answer_s is None else self._last_answer_s

    def _all_over_s(self) -> float:
        """Return from when on nothing that was sent under any term so far can run."""
        if not self.record.checks_fence:
            return max(self._taken_over_s, self._last_work_s) + self._settle_s
        return self._last_grant_sent_s + RUN_S * (1 + CLOCK_MARGIN) + LAPSE_MARGIN_S

    def _releases(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for shard, epoch in self._moving.items():
            if self._released.get(shard) == epoch or shard in self._releasing:
                continue
            if not self._may_release(shard, now_s):
                continue
            if self.record.checks_fence:
                self._releasing.add(shard)
                record = self.record
                actions.append(ReleaseShard(record.id, record.address, self.term, shard, epoch))
            else:
                self._released[shard] = epoch
        return actions

    def _may_release(self, shard: ShardId, now_s: float) -> bool:
        """Tell whether nothing of the shard is in flight, an earlier leader's work included.

        A server that checks fences answers for its own shards; for a key that was pinned it
        may still run work under the other shard, and one that does not check answers nothing.
        """
        if not self._inflight.is_drained(shard, now_s):
            return False
        settled = now_s >= self._taken_over_s + self._settle_s
        if not self.record.checks_fence:
            return settled
        granted = self._granted
        return (
            granted is not None
            and shard not in granted
            and (settled or shard not in self._moving_pins)
        )
