"""Orders to the owners of keys are left unanswered for some seconds; are the keys served later."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from site3 import Backend, now_s, run_case  # noqa: E402

HOST = "gw.example"
# BENCH kinds: applied_late, "a share x (.5) of the orders to servers gets no answer and is carried
# out 2 to 12 s later"; 5.5 s is the longest for_s in the site files.
SHARE, SPELL_S, DELAY_S = 0.5, 5.5, (2.0, 12.0)
MAX_SPELLS, PAUSE_S = 10, 1.5
# The longest delay of an order, and `contact`.
STEADY_AFTER_S = 12.0 + 3.0
CONFIG_APPLY_S = 2.0
REQUESTS = 60
# The services that are divided by key.
KEYED = ("desk", "ledger")


def route(name: str, prefix: str, service: str) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "safe",
        "timeout": "2000ms",
        "target_latency": "500ms",
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


async def scenario(site, trouble):
    chance = random.Random()
    record = site.record
    await site.start(daemons=4)
    services = {"desk": True, "ledger": True, "board": False}
    first = [route(name, f"/{name}/", name) for name in services]
    site.configure(first, services)
    spell_until_s = 0.0

    def delays_order():
        if now_s() < spell_until_s and chance.random() < SHARE:
            return chance.uniform(*DELAY_S)
        return None

    for name in KEYED:
        for number in range(2):
            backend = site.add(Backend(site, f"{name}-{number}", name, work_s=0.05, sharded=True))
            backend.delays_order = delays_order
    for number in range(3):
        site.add(Backend(site, f"board-{number}", "board", work_s=0.05))
    for backend in site.backends.values():
        await backend.start()
    for daemon in site.daemons:
        await daemon.start()
    for daemon in site.daemons:
        await daemon.wait_ready()
    sent = 0
    last_served_s = dict.fromkeys(KEYED, now_s())

    async def ask(service, prefix):
        """Send one request to some daemon; return whether it was served."""
        nonlocal sent
        sent += 1
        daemon = chance.choice(site.daemons)
        key = chance.randrange(65536) if service in KEYED else None
        status, fields = await site.request(
            daemon, "GET", HOST, f"{prefix}{sent}", f"q{sent}", 1.5, key
        )
        served = status == 200 and "response-signature" in fields
        if served and key is not None:
            last_served_s[service] = now_s()
        return served

    async def share_served(service, prefix):
        """Return the share that is served of requests sent 25 ms apart."""
        asked = []
        for _ in range(REQUESTS):
            asked.append(asyncio.create_task(ask(service, prefix)))
            await asyncio.sleep(0.025)
        results = await asyncio.gather(*asked)
        record.write(f"{prefix}: {sum(results)} of {REQUESTS} served")
        return sum(results) / REQUESTS

    async def first_routes_served():
        return sum([await share_served(name, f"/{name}/") for name in services]) / len(services)

    await asyncio.sleep(4.0)
    before = await first_routes_served()
    for spell in range(MAX_SPELLS):
        if trouble:
            spell_until_s = now_s() + SPELL_S
            record.write(f"spell {spell + 1}: half of the orders to servers of keys are late")
        spell_end_s = now_s() + SPELL_S + PAUSE_S
        while now_s() < spell_end_s:
            await asyncio.gather(*(ask(name, f"/{name}/") for name in KEYED for _ in range(3)))
            await asyncio.sleep(0.2)
        # No further disruption once the keys of a service are not served any more.
        if now_s() - min(last_served_s.values()) > PAUSE_S + 2.0:
            break
    record.write("the last spell has ended; all orders are answered at once")
    await asyncio.sleep(STEADY_AFTER_S)
    added = min(KEYED, key=lambda name: last_served_s[name])
    site.configure([*first, route("added", "/added/", added)], services)
    record.write(f"one more route to {added} is configured")
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    first_share = await first_routes_served()
    later_share = await share_served(added, "/added/")
    for backend in site.backends.values():
        if backend.sharded:
            held = sum(b - a + 1 for a, b, _, end_s in backend.grants if end_s > now_s())
            record.write(f"{backend.id} is up and holds {held} keys")
    if before < 0.9:
        record.write("not served before either")
        return ""
    if later_share < first_share / 4:
        return (
            f"CONFIG: served on the added route {later_share:.2f}, on the first ones"
            f" {first_share:.2f}, {STEADY_AFTER_S:.0f} s after the last late order"
        )
    return ""


run_case(FOLDER, scenario)
