"""Ask daemons how they are: `fuchsiawell status HOST:PORT...`."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok, Result

from fuchsiawell.cli.exit_status import Exit, fail
from fuchsiawell.httpio import InvalidResponseError, RequestHead, connect

__all__ = ["DaemonNumbers", "read_numbers", "status"]

# Longest time for a daemon to answer, in seconds.
ASK_S = 3.0
PREFIX = "fuchsiawell_"
SHOWN = (
    "configuration_version",
    "backends",
    "peers",
    "granting",
    "busy_requests",
    "connections_opened",
)


@dataclass(frozen=True)
class DaemonNumbers:
    """What one daemon's metrics say; labelled series are added up by name."""

    address: str
    by_name: dict[str, float] = field(default_factory=dict)


def status(*daemons: str) -> Exit:
    """Print a line for each daemon, and what they disagree on.

    :param daemons: metrics addresses, each as HOST:PORT
    """
    if not daemons:
        return fail("status needs at least one daemon", Exit.USAGE)
    told = asyncio.run(_ask_all(daemons))
    numbers = [answer.ok_value for answer in told if isinstance(answer, Ok)]
    for one in numbers:
        shown = " ".join(f"{name}={one.by_name.get(name, 0):g}" for name in SHOWN)
        served = one.by_name.get("answers_total", 0)
        refused = one.by_name.get("refusals_total", 0)
        print(f"{one.address} {shown} answers={served:g} refusals={refused:g}")
    for answer in told:
        if isinstance(answer, Err):
            fail(answer.err_value)
    versions = {one.by_name.get("configuration_version") for one in numbers}
    if len(versions) > 1:
        print(f"note: configurations in force differ: {sorted(v or 0 for v in versions)}")
    granting = sum(one.by_name.get("granting", 0) for one in numbers)
    if granting != 1:
        print(f"note: {granting:g} of the daemons asked grant keys; one of all should")
    return Exit.DONE if len(numbers) == len(told) else Exit.REFUSED


def read_numbers(address: str, text: str) -> DaemonNumbers:
    """Return the numbers in a metrics page; lines of another form are left out."""
    by_name: dict[str, float] = {}
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        name = name.partition("{")[0].removeprefix(PREFIX)
        try:
            by_name[name] = by_name.get(name, 0.0) + float(value)
        except ValueError:
            continue
    return DaemonNumbers(address, by_name)


async def _ask_all(addresses: tuple[str, ...]) -> list[Result[DaemonNumbers, str]]:
    return await asyncio.gather(*(_ask(address) for address in addresses))


async def _ask(address: str) -> Result[DaemonNumbers, str]:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        return Err(f"ask daemon at {address}: not of the form HOST:PORT")
    try:
        async with asyncio.timeout(ASK_S):
            connection = await connect(host, int(port), ASK_S)
            exchange = connection.start(
                RequestHead(b"GET", b"/metrics", [(b"host", address.encode())]), 0
            )
            await exchange.finish_body()
            await exchange.read_response_head(lambda _: True)
            text = b""
            while (piece := await exchange.read_body_chunk()) is not None:
                text += piece
            connection.close()
    except (OSError, InvalidResponseError) as error:
        return Err(f"ask daemon at {address}: {error or 'no answer in time'}")
    return Ok(read_numbers(address, text.decode(errors="replace")))
