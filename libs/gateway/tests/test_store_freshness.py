"""A change that the store has acknowledged must be in force at every daemon within the bound.

The bound holds for each daemon whose own links are sound, also while its hub is in trouble.
"""

from __future__ import annotations

import asyncio

import pytest
from store_site import StoreSite

from fuchsiawell.standins import run_in_virtual_time

# `config_apply` of the deployment of issue 19.
CONFIGURATION_BOUND_S = 2.5
# The hub's watch begins anew every 2 s; changes come at these times after its link went silent.
CHANGE_DELAYS_S = [0.05, 0.2, 0.6, 1.0, 1.4, 1.9]


@pytest.mark.parametrize("change_delay_s", CHANGE_DELAYS_S)
# Guards against issue 19: a follower kept a configuration for 2.7 s after a newer one was
# acknowledged, as its hub sent keep-alives while the hub's own watch of the store was silent.
def test_follower_of_a_hub_with_a_silent_store_link_takes_a_configuration_in_time(
    change_delay_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        site = StoreSite(monkeypatch)
        site.configure(1)
        hub = site.add("hub")
        await asyncio.sleep(0.5)
        follower = site.add("follower", ["hub", None])
        await site.age_until(lambda: follower.version == 1, 0.0)
        # Just after the hub's watch has begun.
        watches = hub.link.watches
        await site.age_until(lambda: hub.link.watches > watches, 0.0)
        hub.link.silent = True
        await asyncio.sleep(change_delay_s)
        acknowledged_s = site.configure(2)
        age_s = await site.age_until(lambda: follower.version == 2, acknowledged_s)
        await site.stop()
        assert age_s <= CONFIGURATION_BOUND_S

    run_in_virtual_time(run())
