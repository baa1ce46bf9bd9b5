"""Fault injection: each fault ends by itself; several may overlap."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from fuchsiawell.soak.site import ZONES

from standins.endless_responses import EndlessSender, Form

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from fuchsiawell.soak.daemons import Daemon
    from fuchsiawell.soak.site import SoakSite

__all__ = ["FAULTS", "Faults"]

# A server fault is skipped while fewer servers than this are free of faults.
MIN_CANDIDATE_SERVERS = 3
# A server whose entry does not say that it leaves stays this much longer.
SILENT_LEAVE_S = 2.0
# Time for which a server goes on serving after its entry was removed.
SERVE_AFTER_REMOVAL_S = (4.0, 8.0)
# Longest time between the kill of a daemon in a rollback of the store and its next start.
MAX_DOWN_S = 1.0
# Requests per second that limited servers take from all daemons.
LIMITS_PER_S = (0.0, 0.5, 1.2, 3.0, 8.0)
# What servers send without end; what is passed on to clients in part is chosen more often.
ENDLESS_FORMS = (*Form, *(Form.CHUNKED, Form.LENGTH, Form.NO_LENGTH) * 3)
# Time between the parts of a response without end.
PART_INTERVAL_S = 0.05
# Seconds for which servers want nothing from a daemon.
RESTS_S = (0.2, 0.8, 1.5, 3.0, 5.0)
# Bounds of the time for which a zone is evacuated: longer than the 5 s after which that is checked.
EVACUATION_S = (6.0, 9.0)


class Faults:
    """Inject faults into a site; all random choices come from the seeded generator of the site."""

    def __init__(self, site: SoakSite) -> None:
        self._site = site
        self._faulted_servers: set[str] = set()
        self._left_servers = 0
        self._faulted_daemons: set[str] = set()

    async def kill_daemon(self) -> None:
        """Kill a daemon and restart it."""
        await self._inject_into_daemon(self._kill_and_restart)

    async def stop_daemon(self) -> None:
        """Stop a daemon with SIGTERM while clients keep using their connections, and restart it."""
        await self._inject_into_daemon(self._terminate_and_restart)

    async def pause_daemon(self) -> None:
        """Suspend a daemon for up to 4 s."""
        await self._inject_into_daemon(self._suspend)

    async def cut_daemon_from_store(self) -> None:
        """Drop the data between a daemon and the store, one way or both, or reset connections."""
        site = self._site
        name, proxy = site.random.choice(list(site.store_proxies.items()))
        started_s = site.clock.monotonic()
        mode = site.random.randrange(4)
        proxy.drop_to_target, proxy.drop_from_target = mode in (0, 2), mode in (1, 2)
        if mode == 3:
            proxy.reset_connections()
        duration_s = site.random.uniform(1.0, 5.0)
        for audit in (site.limit_audit, site.recover_audit, site.evacuation_audit, site.contact):
            audit.record_disturbance(name, started_s, started_s + duration_s)
        await asyncio.sleep(duration_s)
        proxy.clear_faults()

    async def store_away(self) -> None:
        """Make the store refuse all calls."""
        site, started_s = self._site, self._site.clock.monotonic()
        site.store.unavailable = True
        await asyncio.sleep(site.random.uniform(1.0, 5.0))
        site.store.unavailable = False
        for audit in (site.evacuation_audit, site.contact):
            audit.record_disturbance(None, started_s, site.clock.monotonic())

    async def store_loses_answers(self) -> None:
        """Execute some writes of the store but lose the responses."""
        self._site.store.responses_to_lose += self._site.random.randrange(1, 4)
        await asyncio.sleep(0)

    async def store_forgets(self) -> None:
        """Drop the event history of the store."""
        self._site.store.compact_history()
        await asyncio.sleep(0)

    async def configure(self) -> None:
        """Change the configuration up to three times in quick succession."""
        for _ in range(self._site.random.randrange(1, 4)):
            self._site.configure()
            await asyncio.sleep(0.05)

    async def crash_server(self) -> None:
        """Crash a server and restart it with the same id."""
        await self._inject_into_server(self._crash_and_restart)

    async def leave_server(self) -> None:
        """Let a server say that it leaves, remove it, and add another one."""
        await self._inject_into_server(self._drain_and_replace)

    async def mute_server(self) -> None:
        """Make a server apply grants without responding."""
        await self._inject_into_server(self._withhold_grant_responses)

    async def silence_server(self) -> None:
        """Drop the data to a server, from it, or both."""
        await self._inject_into_server(self._drop_traffic)

    async def spoil_answers(self) -> None:
        """Make a server lose, truncate and duplicate responses and reject requests."""
        await self._inject_into_server(self._corrupt_responses)

    async def limit_servers(self, random: Random) -> None:
        """Make servers name rate limits, which change once and end, until cancelled.

        This goes on beside the other faults, also at servers that have one.
        """
        while True:
            await asyncio.sleep(random.uniform(0.5, 3.0))
            server = random.choice(list(self._site.servers.values()))
            for rate_per_s in random.sample(LIMITS_PER_S, 2):
                server.name_limit(rate_per_s)
                await asyncio.sleep(random.uniform(2.0, 6.0))
            server.name_limit(None)

    async def send_without_end(self, random: Random) -> None:
        """Make servers send bytes without end in place of responses for a while, until cancelled.

        This goes on beside the other faults, also at servers that have one.
        """
        while True:
            await asyncio.sleep(random.uniform(0.5, 3.0))
            server = random.choice(list(self._site.servers.values()))
            form, status = random.choice(ENDLESS_FORMS), random.choice((200, 200, 503))
            server.endless = EndlessSender(form, status, PART_INTERVAL_S)
            await asyncio.sleep(random.uniform(1.0, 4.0))
            server.endless = None

    async def rest_servers(self, random: Random) -> None:
        """Let servers turn everything away and ask for rests, one server after the other."""
        while True:
            await asyncio.sleep(random.uniform(0.5, 3.0))
            server = random.choice(list(self._site.servers.values()))
            for seconds in random.sample(RESTS_S, 2):
                server.rest_values = (b"%g" % seconds,)
                await asyncio.sleep(random.uniform(0.3, 4.0))
            server.rest_values = ()

    async def evacuate_zone(self, random: Random) -> None:
        """Evacuate a zone and take it back, one after the other, until cancelled.

        This goes on beside the other faults.
        """
        site = self._site
        while True:
            await asyncio.sleep(random.uniform(0.5, 3.0))
            zone = random.choice(ZONES)
            site.store.put(f"op/evacuate/{zone}", b"{}")
            site.evacuation_audit.record_evacuated(zone, site.clock.monotonic())
            try:
                await asyncio.sleep(random.uniform(*EVACUATION_S))
            finally:
                site.evacuation_audit.record_taken_back(zone, site.clock.monotonic())
                site.remove_key(f"op/evacuate/{zone}")

    async def remove_entries(self, random: Random) -> None:
        """Remove entries of servers that say nothing of it and go on serving, until cancelled.

        This goes on beside the other faults, also while the store comes back from older copies.
        """
        site = self._site
        async with asyncio.TaskGroup() as removals:
            while True:
                await asyncio.sleep(random.uniform(0.5, 2.0))
                names = [name for name in site.servers if name not in self._faulted_servers]
                # The operator gets no acknowledgement while the store is away.
                if len(names) < MIN_CANDIDATE_SERVERS or site.store.unavailable:
                    continue
                name, duration_s = random.choice(names), random.uniform(*SERVE_AFTER_REMOVAL_S)
                self._faulted_servers.add(name)
                await site.add_server()
                removals.create_task(self._remove_and_serve(name, duration_s))
                await asyncio.sleep(0)

    async def add_versions(self, random: Random) -> None:
        """Change the configuration now and then while the store is there, until cancelled.

        Some versions are then known to all, and others to none, when the store comes back from an
        older copy.
        """
        while True:
            await asyncio.sleep(random.uniform(0.5, 3.0))
            if not self._site.store.unavailable:
                self._site.configure()

    async def restart_daemons(self, random: Random) -> None:
        """Kill one daemon or all at once and restart them, but for those that have a fault."""
        site, started_s = self._site, self._site.clock.monotonic()
        daemons = [d for d in site.daemons if d.name not in self._faulted_daemons and d.running]
        if random.random() < 0.5:
            daemons = random.sample(daemons, min(1, len(daemons)))
        self._faulted_daemons.update(daemon.name for daemon in daemons)
        for daemon in daemons:
            daemon.send_signal(signal.SIGKILL)
        for daemon in daemons:
            await daemon.wait_exit()
            site.record_disturbance(daemon.name, started_s, site.clock.monotonic())
        await asyncio.sleep(random.uniform(0.0, MAX_DOWN_S))
        for daemon in daemons:
            await site.start_process(daemon)
            site.record_disturbance(daemon.name, started_s, site.clock.monotonic())
            self._faulted_daemons.discard(daemon.name)

    async def _inject_into_daemon(self, fault: Callable[[Daemon], Awaitable[None]]) -> None:
        site = self._site
        candidates = [d for d in site.daemons if d.name not in self._faulted_daemons and d.running]
        if len(candidates) < 2:
            return
        daemon = site.random.choice(candidates)
        self._faulted_daemons.add(daemon.name)
        started_s = site.clock.monotonic()
        try:
            await fault(daemon)
        finally:
            self._faulted_daemons.discard(daemon.name)
            site.record_disturbance(daemon.name, started_s, site.clock.monotonic())

    async def _kill_and_restart(self, daemon: Daemon) -> None:
        daemon.send_signal(signal.SIGKILL)
        await daemon.wait_exit()
        await asyncio.sleep(self._site.random.uniform(0.1, 1.5))
        await self._site.start_process(daemon)

    async def _terminate_and_restart(self, daemon: Daemon) -> None:
        # Before it is ready, a process may have no SIGTERM handler yet and would be killed by it.
        await daemon.wait_ready()
        daemon.send_signal(signal.SIGTERM)
        status = await daemon.wait_exit()
        if status != 0:
            self._site.invariants.violations.append(
                f"{daemon.name} exited with status {status} after SIGTERM"
            )
        await self._site.start_process(daemon)

    async def _suspend(self, daemon: Daemon) -> None:
        daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._site.random.uniform(0.5, 4.0))
        daemon.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.5)

    async def _inject_into_server(self, fault: Callable[[str], Awaitable[None]]) -> None:
        site = self._site
        candidates = [name for name in site.servers if name not in self._faulted_servers]
        if len(candidates) < MIN_CANDIDATE_SERVERS:
            return
        name = site.random.choice(candidates)
        self._faulted_servers.add(name)
        try:
            await fault(name)
        finally:
            self._faulted_servers.discard(name)

    async def _crash_and_restart(self, name: str) -> None:
        await self._site.crash_server(name)
        await asyncio.sleep(self._site.random.uniform(0.2, 4.0))
        await self._site.restart_server(name)

    async def _drain_and_replace(self, name: str) -> None:
        site, server = self._site, self._site.servers[name]
        server.leaving_values = (b"1",)
        # Every second server leaves without a word in its entry and in its responses to grants.
        self._left_servers += 1
        silent = self._left_servers % 2 == 1
        server.leaving_in_grants = not silent
        if not silent:
            site.write_server_entry(name, "draining")
        await site.add_server()
        await asyncio.sleep(site.random.uniform(2.0, 4.0) + (SILENT_LEAVE_S if silent else 0.0))
        await site.remove_server(name)
        del site.servers[name]

    async def _withhold_grant_responses(self, name: str) -> None:
        server = self._site.servers[name]
        server.withhold_grant_responses = True
        await asyncio.sleep(self._site.random.uniform(0.5, 4.0))
        server.withhold_grant_responses = False

    async def _drop_traffic(self, name: str) -> None:
        site, proxies = self._site, self._site.server_proxies[name]
        to_server = site.random.random() < 0.5
        proxies.drop_data(to_server, not to_server or site.random.random() < 0.5)
        started_s = site.clock.monotonic()
        await asyncio.sleep(site.random.uniform(0.5, 4.0))
        proxies.clear_faults()
        for daemon in site.daemons:
            # A response with a rest may have been dropped.
            site.rest_audit.record_disturbance(daemon.name, started_s, site.clock.monotonic())

    async def _remove_and_serve(self, name: str, duration_s: float) -> None:
        site = self._site
        try:
            site.remove_server_entry(name)
            await asyncio.sleep(duration_s)
        finally:
            await site.crash_server(name)
            del site.servers[name]
            self._faulted_servers.discard(name)

    async def _corrupt_responses(self, name: str) -> None:
        site, server = self._site, self._site.servers[name]
        server.responses_to_lose += site.random.randrange(3)
        server.responses_to_cut += site.random.randrange(3)
        server.extra_responses += site.random.randrange(3)
        server.requests_to_shed += site.random.randrange(5)
        await asyncio.sleep(site.random.uniform(0.5, 2.0))


FAULTS: tuple[Callable[[Faults], Awaitable[None]], ...] = (
    Faults.kill_daemon,
    Faults.stop_daemon,
    Faults.pause_daemon,
    Faults.cut_daemon_from_store,
    Faults.store_away,
    Faults.store_loses_answers,
    Faults.store_forgets,
    Faults.configure,
    Faults.crash_server,
    Faults.leave_server,
    Faults.mute_server,
    Faults.silence_server,
    Faults.spoil_answers,
)
