"""The store comes back from a copy; keys that had moved get a second holder."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from sitekit.owners import broken_owner
from sitekit.site import Site, is_troubled, route, run_case

FOLDER = Path(__file__).resolve().parent


async def case() -> list[str]:
    """Add backends, let the store lose its last seconds, and add backends again."""
    async with Site(5, {"desk": True, "ledger": False}) as site:
        for _ in range(6):
            await site.add_backend("desk")
        for _ in range(4):
            await site.add_backend("ledger")
        site.configure([route("desk", "safe", "desk"), route("ledger", "unsafe", "ledger")])
        await site.start_daemons()
        await asyncio.sleep(4.0)

        def request() -> tuple[str, str, int | None]:
            if site.random.random() < 0.8:
                return "/desk/x", "safe", site.random.randrange(65536)
            return "/ledger/x", "unsafe", None

        load = asyncio.create_task(site.load(60.0, 28.0, request))
        await asyncio.sleep(8.0)
        for _ in range(2):
            await site.add_backend("desk")
        await asyncio.sleep(2.5)
        if is_troubled():
            site.note("the store goes away for 1 s and comes back from a copy 4 s old")
            await site.store.drill(4.0, 1.0)
            site.note("the store is back")
        else:
            await asyncio.sleep(1.0)
        await asyncio.sleep(6.0)
        for _ in range(2):
            await site.add_backend("desk")
        await load
        await site.finish_calls()
        await asyncio.sleep(2.0)
        findings = broken_owner(site.backends, site.runs, site.started_s)
        print("answers:", dict(Counter(sent.status for sent in site.sent)))
        site.write_record(FOLDER / "record.txt", findings)
        return findings


if __name__ == "__main__":
    run_case(case)
