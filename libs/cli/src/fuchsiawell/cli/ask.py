"""Asking daemons and the store what they know, for `fuchsiawell status`."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiosonic import HTTPClient
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts
from result import Err, Ok, Result

from fuchsiawell.cli.cell_view import CellView, DaemonView, Unreachable, read_daemon
from fuchsiawell.config import configuration_key, decode_configuration
from fuchsiawell.daemon.operators import overview
from fuchsiawell.ownership import AssignmentFormatError, assignment_key, decode_assignment

if TYPE_CHECKING:
    from fuchsiawell.core import CellName
    from fuchsiawell.platform import Store

__all__ = ["ask_daemons", "ask_store"]

TIMEOUT_S = 3.0
OK = 200


async def ask_daemons(addresses: list[str]) -> CellView:
    """Ask every daemon at once for its status and metrics."""
    client = HTTPClient(trust_env=False)
    try:
        told = await asyncio.gather(*(_ask(client, address) for address in addresses))
    finally:
        await client.aclose()
    daemons = tuple(answer.ok_value for answer in told if isinstance(answer, Ok))
    failures = tuple(answer.err_value for answer in told if isinstance(answer, Err))
    return CellView(daemons, failures, cells=frozenset(daemon.cell for daemon in daemons))


async def ask_store(store: Store, cell: CellName) -> CellView:
    """Read the cell's assignment and configuration from the store."""
    assignment, configuration = await asyncio.gather(
        store.get(assignment_key(cell)), store.get(configuration_key(cell))
    )
    for answer in (assignment, configuration):
        if isinstance(answer, Err):
            error = answer.err_value
            failure = Unreachable(error.step, error.peer, error.detail)
            return CellView(asked_store=True, store_failure=failure)
    record, rules = assignment.unwrap(), configuration.unwrap()
    decoded = None if rules is None else decode_configuration(rules.value, "store")
    if isinstance(decoded, Err):
        error_text = "; ".join(decoded.err_value.mistakes)
        return _unreadable("decode configuration", error_text)
    try:
        made = None if record is None else decode_assignment(record.value, record.revision, "store")
    except AssignmentFormatError as bad:
        return _unreadable(bad.step, bad.detail)
    return CellView(
        asked_store=True,
        store_overview=None if made is None else overview(made),
        configuration=None if decoded is None else decoded.ok_value,
        cells=frozenset({cell}),
    )


def _unreadable(step: str, detail: str) -> CellView:
    return CellView(asked_store=True, store_failure=Unreachable(step, "store", detail))


async def _ask(client: HTTPClient, address: str) -> Result[DaemonView, Unreachable]:
    try:
        async with asyncio.timeout(TIMEOUT_S):
            status = await _get(client, f"http://{address}/status")
            metrics = await _get(client, f"http://{address}/metrics")
    except (AiosonicError, OSError, EOFError, ValueError) as error:
        detail = f"{type(error).__name__}: {error}".rstrip(": ")
        return Err(Unreachable("ask daemon", address, detail))
    return read_daemon(address, status, metrics)


async def _get(client: HTTPClient, url: str) -> bytes:
    timeouts = Timeouts(sock_connect=TIMEOUT_S, sock_read=TIMEOUT_S)
    response = await client.get(url, timeouts=timeouts)
    if response.status_code != OK:
        raise ValueError(f"{url} answered {response.status_code}")
    return bytes(await response.content())
