from __future__ import annotations

import pytest
from cell import Cell


@pytest.fixture
async def cell():  # type: ignore[no-untyped-def]
    cell = Cell()
    await cell.start()
    yield cell
    await cell.stop()
