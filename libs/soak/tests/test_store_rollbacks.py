"""A store that comes back from an older copy gets again what its writers still stand by."""

from __future__ import annotations

from pathlib import Path
from random import Random

from fuchsiawell.soak.faults import Faults
from fuchsiawell.soak.site import SoakSite
from fuchsiawell.soak.store_rollbacks import StoreRollbacks

KEY = "servers/i-1"


# Guards against entries that came back for good: removed just after the store had come back from a
# copy that lacked them, they were written again (seed 2).
def test_key_removed_since_the_rollback_is_not_written_again() -> None:
    for removed, count in ((False, 1), (True, 0)):
        site = SoakSite(Path(), Random(1))
        rollbacks = StoreRollbacks(site, Faults(site))
        copy = site.store.copy()
        site.store.put(KEY, b"{}")
        item = site.store.items[KEY]
        site.store.restore(copy)
        if removed:
            site.remove_key(KEY)
        rollbacks._write_again(KEY, item, site.store.revision)
        assert len(site.store.items) == count
