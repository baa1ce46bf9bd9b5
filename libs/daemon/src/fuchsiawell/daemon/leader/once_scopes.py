"""Opening the ledger for the shards led here, once earlier leaders are known to have stopped."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from result import Err

from fuchsiawell.core import NotRunReason
from fuchsiawell.daemon.leader.once_windows import outage_windows
from fuchsiawell.once import (
    JournalState,
    Places,
    Scope,
    Stopped,
    StoppedBy,
    journal_prefix,
    place_of,
)
from fuchsiawell.ownership import FIRST_PIN_INDEX

if TYPE_CHECKING:
    from fuchsiawell.core import ServiceName, ShardId
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.leader.authority import Authority
    from fuchsiawell.daemon.leader.once_hand_over import HandOvers
    from fuchsiawell.once import HandOver, Journal, Ledger, OnceRunner
    from fuchsiawell.ownership import Assignment, Fence

__all__ = ["OnceScopes"]

CHECK_S = 0.1  # between two looks for shards that may be sent to and are not open
SETTLED_CHECK_S = 1.0  # the same while all shards led here are open
STORE_RETRY_S = 0.5


class OnceScopes:
    """Follow the shards led here: read the cell's journals, open them, close those that left."""

    def __init__(
        self,
        context: Context,
        state: CellState,
        authority: Authority,
        ledger: Ledger,
        journal: Journal,
        runner: OnceRunner,
        hand_overs: HandOvers,
    ) -> None:
        self._context = context
        self._state = state
        self._authority = authority
        self._ledger = ledger
        self._journal = journal
        self._runner = runner
        self._hand_overs = hand_overs
        hand_overs.on_superseded = self._on_superseded
        self._fence_by_shard: dict[ShardId, Fence] = {}
        self._pins: dict[tuple[ServiceName, str], ShardId] = {}
        self._returned_keys: set[Scope] = set()  # unpinned, to be opened in their hash shard
        self._settled_revision = -1
        self._next_check_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._follow(), name="open scopes")

    async def stop(self) -> None:
        """Stop following, and send nothing more."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._ledger.close_all()

    @property
    def any_open(self) -> bool:
        """Tell whether the ledger is open for any shard."""
        return bool(self._fence_by_shard)

    def is_open_under(self, shard: ShardId, fence: Fence) -> bool:
        """Tell whether the ledger was opened under just this fence."""
        return self._fence_by_shard.get(shard) == fence

    async def _follow(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            if self._journal.state is JournalState.UNOPENED:
                await self._open_journal()
            elif self._state.assignment is not None and self._is_due(self._state.assignment):
                await self._step(self._state.assignment)

    def _is_due(self, assignment: Assignment) -> bool:
        if assignment.revision != self._settled_revision:
            return True
        return self._context.clock.monotonic() >= self._next_check_s

    async def _open_journal(self) -> None:
        opened = await self._journal.open()
        if isinstance(opened, Err):
            self._context.log.warning("journal not open", step="intent", error=opened.err_value)
            await asyncio.sleep(STORE_RETRY_S)

    async def _step(self, assignment: Assignment) -> None:
        self._follow_pins(assignment)
        fences, refused = self._fences(assignment)
        for shard, fence in list(self._fence_by_shard.items()):
            if not self._is_current(assignment, shard, fence):
                self._close(shard)
        self._returned_keys = {k for k in self._returned_keys if k.shard in self._fence_by_shard}
        wanted = {s: f for s, f in fences.items() if s not in self._fence_by_shard}
        if wanted or self._returned_keys:
            await self._take_over(assignment, wanted)
        elif not refused:
            self._settled_revision = assignment.revision
            self._next_check_s = self._context.clock.monotonic() + SETTLED_CHECK_S

    def _fences(self, assignment: Assignment) -> tuple[dict[ShardId, Fence], int]:
        """Return the fence of every shard that may be sent to now, and the number of others."""
        fences, refused = {}, 0
        for server in assignment.led_by(self._context.settings.daemon):
            for shard, _ in assignment.shards_of(server.id):
                fence = self._authority.permit(shard)
                if isinstance(fence, NotRunReason):
                    refused += 1
                else:
                    fences[shard] = fence
        return fences, refused

    async def _take_over(self, assignment: Assignment, wanted: dict[ShardId, Fence]) -> None:
        """Read the journals and open; a fence in force proves that earlier leaders had stopped."""
        stopped_s = self._context.clock.monotonic()
        given = await self._hand_overs.ask(wanted) if wanted else {}
        for shard, handed in given.items():
            self._accept(assignment, shard, wanted.pop(shard), handed)
        if not wanted and not self._returned_keys:
            self._opened(len(given), 0)
            return
        read = await self._journal.read_others(journal_prefix(self._context.settings.cell))
        if isinstance(read, Err):
            self._context.log.warning("journals not read", step="intent", error=read.err_value)
            await asyncio.sleep(STORE_RETRY_S)
            return
        returned, self._returned_keys = self._returned_keys, set()
        narrowed = read.ok_value.only(_places(assignment, wanted, returned))
        for shard, fence in wanted.items():
            if self._authority.permit(shard) != fence:
                continue
            stopped = Stopped(_stopped_by(assignment, fence), stopped_s)
            self._ledger.take_over([Scope(shard)], stopped, narrowed)
            self._fence_by_shard[shard] = fence
        for scope in returned:
            fence = self._fence_by_shard[scope.shard]
            if self._authority.permit(scope.shard) == fence:
                stopped = Stopped(_stopped_by(assignment, fence), stopped_s)
                self._ledger.take_over([scope], stopped, narrowed)
        self._opened(len(wanted) + len(given), len(narrowed.intents))

    def _opened(self, shards: int, intents: int) -> None:
        self._declare()
        self._context.log.event("scopes opened", shards=shards, intents=intents)
        self._runner.scopes_opened()

    def _accept(
        self, assignment: Assignment, shard: ShardId, fence: Fence, given: HandOver
    ) -> None:
        """Open a shard with what its direct predecessor knew."""
        if self._authority.permit(shard) != fence:
            return
        places = _places(assignment, {shard: fence}, set())
        scopes = tuple(held for held in given.scopes if held.scope.shard == shard)
        found = tuple(intent for intent in given.found if places.covers(intent.place))
        self._ledger.accept(replace(given, scopes=scopes, found=found))
        self._fence_by_shard[shard] = fence

    def _close(self, shard: ShardId) -> None:
        fence = self._fence_by_shard.pop(shard)
        held = self._ledger.close(Scope(shard))
        if held is not None:
            self._hand_overs.closed(shard, fence, held)

    def _on_superseded(self, shard: ShardId, newer: Fence) -> None:
        """Close a shard that another leader was granted, though the news is not here yet."""
        fence = self._fence_by_shard.get(shard)
        if fence is None:
            return
        later_term = newer.server == fence.server and newer.term > fence.term
        if later_term or newer.epoch > fence.epoch:
            self._close(shard)

    def _is_current(self, assignment: Assignment, shard: ShardId, fence: Fence) -> bool:
        """Tell whether the record still names this leadership, be it silent for the moment."""
        record = assignment.shards_by_id.get(shard)
        server = assignment.servers_by_id.get(fence.server)
        if record is None or server is None:
            return False
        own = server.leader == self._context.settings.daemon and server.term == fence.term
        return own and record.owner == fence.server and record.epoch == fence.epoch

    def _declare(self) -> None:
        """Declare the shards led here that go on in a store outage."""
        if self._state.configuration is None:
            return
        windows_s = outage_windows(self._state.configuration)
        led = self._fence_by_shard
        self._journal.declare({s: windows_s[s.service] for s in led if s.service in windows_s})

    def _follow_pins(self, assignment: Assignment) -> None:
        """Close keys that were pinned away, and open them again when they come back."""
        if self._pins == assignment.pins_by_key:
            return
        for key in assignment.pins_by_key.keys() ^ self._pins.keys():
            shard = assignment.hash_shard_for(*key)
            if shard is None or shard not in self._fence_by_shard:
                continue
            scope = Scope(shard, key[1])
            self._ledger.close(scope)
            if key in self._pins:
                self._returned_keys.add(scope)
        self._pins = dict(assignment.pins_by_key)


def _stopped_by(assignment: Assignment, fence: Fence) -> StoppedBy:
    checks = assignment.servers_by_id[fence.server].checks_fence
    return StoppedBy.FENCED if checks else StoppedBy.LAPSED


def _places(assignment: Assignment, wanted: dict[ShardId, Fence], returned: set[Scope]) -> Places:
    indexes_by_count: dict[int, set[int]] = {}
    for shard in wanted:
        if shard.index < FIRST_PIN_INDEX:
            count = assignment.shard_count_by_service[shard.service]
            indexes_by_count.setdefault(count, set()).add(shard.index)
    keys = {place_of(key) for (_, key), pin in assignment.pins_by_key.items() if pin in wanted}
    keys |= {place_of(scope.key) for scope in returned if scope.key is not None}
    frozen = {count: frozenset(found) for count, found in indexes_by_count.items()}
    return Places(frozen, frozenset(keys))
