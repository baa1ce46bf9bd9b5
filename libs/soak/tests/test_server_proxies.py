"""A server joins while a daemon is cut off: its proxies are added one after the other."""

from __future__ import annotations

import asyncio

from fuchsiawell.soak.proxy import CutMode
from fuchsiawell.soak.server_proxies import ServerProxies


# Guards against a soak that ends with KeyError (seed 502).
def test_daemon_without_a_proxy_yet_can_be_cut_and_reconnected() -> None:
    async def scenario() -> None:
        proxies = ServerProxies()
        await proxies.add_daemon("d-1", ("127.0.0.1", 1), lambda _port: None)
        for mode in CutMode:
            for daemon in ("d-1", "d-2"):
                proxies.cut(daemon, mode)
                await proxies.end_cut(daemon)
        await proxies.stop()

    asyncio.run(scenario())
