"""The metrics must show a daemon that applies changes late, as its event loop is busy."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from fuchsiawell.gateway.control.maintenance import Maintenance

from builders import session


async def test_delay_of_the_event_loop_is_measured() -> None:
    observed = session()
    nothing_to_do = cast("Any", type("Stub", (), {"expire_backends": lambda self: None})())
    task = asyncio.create_task(Maintenance(observed, nothing_to_do, nothing_to_do).run())
    await asyncio.sleep(0)
    while "loop_delay" not in observed.metrics.render({}):
        await asyncio.sleep(0.01)
    task.cancel()
    assert "fuchsiawell_loop_delay_ms_count 1" in observed.metrics.render({})
