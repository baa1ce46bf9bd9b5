"""Backends answer a rejection twice, the second time late; an order runs twice."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from sitekit.site import PROMISES, Site, is_troubled, route, run_case

FOLDER = Path(__file__).resolve().parent


async def case() -> list[str]:
    """Let all backends reject requests for a while, and some of them send answers twice."""
    async with Site(5, {"ledger": True}) as site:
        for _ in range(10):
            await site.add_backend("ledger")
        site.configure([route("ledger", "unsafe", "ledger")])
        await site.start_daemons()
        await asyncio.sleep(4.0)

        def request() -> tuple[str, str, int | None]:
            return "/ledger/x", "unsafe", site.random.randrange(65536)

        load = asyncio.create_task(site.load(100.0, 56.0, request))
        for _ in range(5):
            await asyncio.sleep(5.0)
            if is_troubled():
                site.note("all backends reject some requests, six of ten send some answers twice")
            for number, backend in enumerate(site.backends):
                backend.shed_share = 0.45 if is_troubled() else 0.0
                backend.extra_share = 0.03 if is_troubled() and number < 6 else 0.0
            await asyncio.sleep(5.0)
            for backend in site.backends:
                backend.shed_share = backend.extra_share = 0.0
        await load
        await site.finish_calls()
        counts = Counter(run.request_id for run in site.runs)
        findings = [f"TWICE: {i} runs {n} times" for i, n in counts.items() if n > 1]
        findings += [
            f"REFUSED: {s.request_id} is answered {s.status} and runs"
            for s in site.sent
            if s.status in PROMISES and counts[s.request_id]
        ]
        print("answers:", dict(Counter(s.status for s in site.sent)))
        print("rejected:", [(b.rejected, b.extra_sent) for b in site.backends])
        site.write_record(FOLDER / "record.txt", findings)
        return findings


if __name__ == "__main__":
    run_case(case)
