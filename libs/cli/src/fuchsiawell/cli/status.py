"""The command that shows how a cell is."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import replace

from fuchsiawell.cli.ask import ask_daemons, ask_store
from fuchsiawell.cli.cell_view import CellView
from fuchsiawell.cli.exits import Exit, fail
from fuchsiawell.cli.status_page import status_page
from fuchsiawell.config import address_in, parse_address
from fuchsiawell.core import CellName
from fuchsiawell.platform import HttpStore

__all__ = ["status"]

STORE_TIMEOUT_S = 3.0


def status(
    *, operator: list[str] | None = None, store: str | None = None, cell: str | None = None
) -> Exit:
    """Show how a cell is: first whether anything needs doing, then the details.

    Ask daemons, the store, or both. The exit status is 0 if anyone answered.

    :param operator: operators' addresses of daemons, as in 127.0.0.1:8082
    :param store: URL of the platform's store, as in http://127.0.0.1:2379
    :param cell: name of the cell; needed with --store unless a daemon tells it
    """
    addresses = operator or []
    try:
        for address in addresses:
            parse_address(address)
        store_address = None if store is None else address_in(store)
    except ValueError as error:
        return fail(f"--operator and --store: {error}")
    if not addresses and store_address is None:
        return fail("status needs --operator, --store, or both", Exit.USAGE)
    if not addresses and cell is None:
        return fail("--store alone needs --cell, the name of the cell", Exit.USAGE)
    view = asyncio.run(_ask(addresses, store_address, cell))
    sys.stdout.write(status_page(view))
    store_answered = view.asked_store and view.store_failure is None
    return Exit.DONE if view.daemons or store_answered else fail("nobody answered")


async def _ask(addresses: list[str], store_address: str | None, cell: str | None) -> CellView:
    view = await ask_daemons(addresses) if addresses else CellView()
    name = cell or next(iter(sorted(view.cells)), None)
    if store_address is None or name is None:
        return view
    store = HttpStore(store_address, STORE_TIMEOUT_S)
    try:
        stored = await ask_store(store, CellName(name))
    finally:
        await store.close()
    return replace(stored, daemons=view.daemons, unreachable=view.unreachable, cells=view.cells)
