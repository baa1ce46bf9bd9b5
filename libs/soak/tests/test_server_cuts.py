"""Cuts of daemons from all servers overlap, leave one daemon alone, and end."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Any, cast

from fuchsiawell.soak.limit_audit import LimitAudit
from fuchsiawell.soak.recover_audit import RecoverAudit
from fuchsiawell.soak.rest_audit import RestAudit
from fuchsiawell.soak.server_cuts import ServerCuts
from fuchsiawell.standins import VirtualClock, run_in_virtual_time

if TYPE_CHECKING:
    from fuchsiawell.soak.proxy import CutMode


@dataclass(frozen=True)
class FakeDaemon:
    name: str


@dataclass
class FakeSite:
    daemons: list[FakeDaemon]
    clock: VirtualClock = field(default_factory=VirtualClock)
    limit_audit: LimitAudit = field(default_factory=LimitAudit)
    rest_audit: RestAudit = field(default_factory=RestAudit)
    recover_audit: RecoverAudit = field(default_factory=RecoverAudit)
    cut_modes: dict[str, CutMode] = field(default_factory=dict)
    cut_counts: list[int] = field(default_factory=list)
    modes: set[CutMode] = field(default_factory=set)

    def cut_from_servers(self, daemon: str, mode: CutMode) -> None:
        assert daemon not in self.cut_modes
        self.cut_modes[daemon] = mode
        self.cut_counts.append(len(self.cut_modes))
        self.modes.add(mode)

    async def reconnect_to_servers(self, daemon: str) -> None:
        await asyncio.sleep(0)
        del self.cut_modes[daemon]


def test_cuts_in_series_overlap_and_always_leave_one_daemon() -> None:
    async def main() -> None:
        site = FakeSite([FakeDaemon(f"d-{number}") for number in range(4)])
        cuts = asyncio.create_task(ServerCuts(cast("Any", site)).run(Random(1)))
        await asyncio.sleep(200.0)
        assert site.cut_modes
        cuts.cancel()
        await asyncio.wait([cuts])
        assert not site.cut_modes
        assert set(site.cut_counts) == {1, 2, 3}
        assert len(site.modes) == 3
        assert len(site.recover_audit.figures()) > 20

    run_in_virtual_time(main())


def test_tries_and_requests_in_a_cut_are_judged_as_the_rules_say() -> None:
    async def main() -> None:
        site = FakeSite([FakeDaemon(f"d-{number}") for number in range(2)])
        await ServerCuts(cast("Any", site)).cut_alone(Random(1))
        ended_s = site.clock.monotonic()
        (cut,) = [name for name in ("d-0", "d-1") if site.limit_audit.excused(name, 4.0)]
        # The host is in touch all the while.
        assert site.recover_audit.in_touch(cut, 4.0)
        for _ in range(100):
            site.recover_audit.record_first_try(cut, ended_s - 1.0, False)
            site.recover_audit.record_first_try("d-0" if cut == "d-1" else "d-1", 4.0, True)
        assert len(site.recover_audit.violations()) == 1

    run_in_virtual_time(main())
