"""Run the soak of one seed: inject faults under load, clear them, then check the invariants."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from fuchsiawell.soak.clients import Clients
from fuchsiawell.soak.daemons import PROGRAM
from fuchsiawell.soak.faults import FAULTS, Faults
from fuchsiawell.soak.server_cuts import ServerCuts
from fuchsiawell.soak.site import SoakSite
from fuchsiawell.soak.store_rollbacks import StoreRollbacks

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["SoakOptions", "Verdict", "soak"]

# After the last fault, every daemon must serve the probed keys, spread over all keys, again within
# this time. Recovery takes a few seconds; the limit is far higher so that the verdict does not
# depend on the speed of the machine.
RECOVERY_TIMEOUT_S = 90.0
PROBED_KEYS = range(0, 65536, 4096)
# During a cut, each daemon gets a request in this time beside those of the clients.
OPEN_LOOP_INTERVAL_S = 0.05


@dataclass(frozen=True)
class SoakOptions:
    servers: int = 5
    daemons: int = 3
    clients: int = 12
    faults: int = 14
    fault_interval_s: float = 0.8  # on average, between the starts of two faults
    program: tuple[str, ...] = PROGRAM


@dataclass(frozen=True)
class Verdict:
    """The result of one seed."""

    seed: int
    broken: tuple[str, ...]
    statuses: dict[int, int]
    faults: tuple[str, ...]
    # First tries at daemons that were cut off from all servers.
    cuts: tuple[str, ...]
    # What the audits of versions and of removed entries saw.
    versions: str
    removals: str


async def soak(seed: int, folder: Path, options: SoakOptions) -> Verdict:
    """Run one seed; the logs of the daemons are kept in `folder`."""
    random = Random(seed)
    site = SoakSite(folder, random)
    fault_names: list[str] = []
    try:
        await site.start(options.servers, options.daemons, options.program)
        clients = Clients(
            site.daemons,
            site.invariants,
            Random(seed + 1),
            site.leaving_audit,
            site.recover_audit,
        )
        load = asyncio.gather(
            clients.run(options.clients, 0.02),
            clients.run_open_loop(OPEN_LOOP_INTERVAL_S, lambda: bool(site.cut_modes)),
            clients.probe_versions(site.version_audit),
        )
        faults, cuts = Faults(site), ServerCuts(site)
        rollbacks = StoreRollbacks(site, faults)
        beside = [
            asyncio.create_task(faults.limit_servers(Random(seed + 2))),
            asyncio.create_task(faults.send_without_end(Random(seed + 3))),
            asyncio.create_task(faults.rest_servers(Random(seed + 4))),
            asyncio.create_task(cuts.run(Random(seed + 5))),
            asyncio.create_task(faults.evacuate_zone(Random(seed + 7))),
            asyncio.create_task(rollbacks.run(Random(seed + 8), Random(seed + 10))),
            asyncio.create_task(faults.remove_entries(Random(seed + 9))),
            asyncio.create_task(faults.add_versions(Random(seed + 11))),
        ]
        running: list[asyncio.Task[None]] = []
        for _ in range(options.faults):
            await asyncio.sleep(options.fault_interval_s * random.uniform(0.2, 1.8))
            fault = random.choice(FAULTS)
            fault_names.append(fault.__name__)
            running.append(asyncio.ensure_future(fault(faults)))
        await asyncio.gather(*running)
        for task in beside:
            task.cancel()
        for outcome in await asyncio.gather(*beside, return_exceptions=True):
            if not isinstance(outcome, asyncio.CancelledError):
                raise RuntimeError(f"a fault beside the series failed: {outcome!r}")
        site.clear_faults()
        await _check_recovery(site, clients)
        await cuts.cut_alone(Random(seed + 6))
        await _check_recovery(site, clients)
        clients.stop()
        await load
        site.invariants.check_memory({d.name: d.peak_memory_bytes() for d in site.daemons})
    finally:
        await site.stop()
    # Daemons that are cut off from servers are not excused.
    site.invariants.check_overdue(lambda *event: not site.recover_audit.in_touch(*event))
    violations = (
        *site.invariants.check_end(),
        *site.limit_audit.violations(),
        *site.rest_audit.violations(),
        *site.leaving_audit.violations(),
        *site.recover_audit.violations(),
        *site.evacuation_audit.violations(),
        *site.version_audit.violations(),
        *site.removal_audit.violations(),
    )
    statuses, figures = dict(site.invariants.statuses), tuple(site.recover_audit.figures())
    return Verdict(
        seed,
        violations,
        statuses,
        tuple(fault_names),
        figures,
        site.version_audit.figures(),
        site.removal_audit.figures(),
    )


async def _check_recovery(site: SoakSite, clients: Clients) -> None:
    unserved = [(daemon, key) for daemon in site.daemons for key in PROBED_KEYS]
    try:
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while unserved:
                daemon, key = unserved[0]
                if (await clients.send_request(daemon, key)).status == 200:
                    unserved.pop(0)
                else:
                    await asyncio.sleep(0.1)
    except TimeoutError:
        daemon, key = unserved[0]
        site.invariants.violations.append(
            f"{daemon.name} did not serve key {key} again after the faults"
        )
