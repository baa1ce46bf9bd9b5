from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from result import Ok

from fuchsiawell.bench.once.chaos import ChaosSettings, run_chaos
from fuchsiawell.bench.once.world import Parts
from fuchsiawell.once import Journal, JournalsRead, OnceRequest, OnceRunner

if TYPE_CHECKING:
    from typing import Any

REQUESTS = 1500


class IntentAfterSending(OnceRunner):
    """A faulty variant: the intent is written while the request is already running."""

    async def _record_intent(self, request: OnceRequest, ticket: Any, deadline: Any) -> None:
        self._late = asyncio.create_task(self._journal.record(request))
        self._ledger.intent_recorded(ticket)


class SkipsJournals(Journal):
    """A faulty variant: a successor runs whatever it has not seen itself."""

    async def read_others(self, prefix: str) -> Any:
        read = await super().read_others(prefix)
        return read if read.is_err() else Ok(JournalsRead(read.unwrap().started_s))


@pytest.mark.parametrize("seed", [1, 2])
def test_no_duplicate_and_no_false_refusal_under_faults(seed: int) -> None:
    result = run_chaos(ChaosSettings(REQUESTS, seed))
    assert (result.duplicates, result.false_not_run, result.wrong_answers) == (0, 0, 0)
    assert result.executions > REQUESTS / 2
    assert set(result.faults) == {"crash", "pause", "hand_over", "disturb_store"}


@pytest.mark.parametrize("parts", [Parts(runner=IntentAfterSending), Parts(journal=SkipsJournals)])
def test_faulty_variants_are_caught_by_the_same_check(parts: Parts) -> None:
    often = ChaosSettings(2500, 1, rate_per_s=400, fault_every_s=0.5, store_s=0.05, parts=parts)
    assert run_chaos(often).duplicates > 0
