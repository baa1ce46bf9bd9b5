"""Start of the soak's daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from fuchsiawell.soak.daemons import Daemon

if TYPE_CHECKING:
    from pathlib import Path


async def test_wait_ready_raises_when_daemon_exits(tmp_path: Path) -> None:
    daemon = Daemon("d-1", 1, tmp_path, ("-c", "raise SystemExit(1)"))
    await daemon.start()
    await daemon.wait_exit()
    with pytest.raises(ChildProcessError, match="d-1"):
        await daemon.wait_ready()
