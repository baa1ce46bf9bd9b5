"""The store comes back from a copy; the operator's next change is never taken."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from sitekit.site import Site, is_troubled, route, run_case

FOLDER = Path(__file__).resolve().parent
# The bound `config_apply`, and `contact` after the end of the disruption of the store.
CONFIG_APPLY_S, CONTACT_S = 2.0, 3.0


async def case() -> list[str]:
    """Change the configuration often, let the store lose that, and move a route."""
    async with Site(5, {"old": False, "new": False}) as site:
        for service in ("old", "new"):
            for _ in range(4):
                await site.add_backend(service)
        site.configure([route("orders", "unsafe", "old")])
        await site.start_daemons()
        await asyncio.sleep(2.0)
        load = asyncio.create_task(site.load(30.0, 34.0, lambda: ("/orders/x", "unsafe", None)))
        await asyncio.sleep(5.0)
        # The storm of the site files: a change each 0.33 s for 4 s, each of a target latency.
        for number in range(12):
            latency = f"{600 + number}ms"
            site.configure([route("orders", "unsafe", "old", target_latency=latency)])
            await asyncio.sleep(0.33)
        if is_troubled():
            site.note("the store goes away for 1 s and comes back from a copy 5 s old")
            await site.store.drill(5.0, 1.0)
            site.note("the store is back")
        else:
            await asyncio.sleep(1.0)
        await asyncio.sleep(CONTACT_S + 1.0)
        version = site.configure([route("orders", "unsafe", "new")])
        since_s = time.monotonic() + CONFIG_APPLY_S
        await load
        await site.finish_calls()
        sent = {s.request_id: s for s in site.sent if s.at_s > since_s}
        late = [run for run in site.runs if run.request_id in sent and run.service == "old"]
        print("answers:", dict(Counter(s.status for s in site.sent)))
        print("sent after the bound:", len(sent))
        findings = []
        if late:
            daemons = Counter(sent[run.request_id].daemon for run in late)
            findings.append(
                f"CONFIG: {len(late)} of {len(sent)} requests that were sent more than "
                f"{CONFIG_APPLY_S} s after version {version} was acknowledged are run by the old "
                f"service, the last {late[-1].at_s - since_s + CONFIG_APPLY_S:.1f} s after it: "
                f"{dict(daemons)}"
            )
        site.write_record(FOLDER / "record.txt", findings)
        return findings


if __name__ == "__main__":
    run_case(case)
