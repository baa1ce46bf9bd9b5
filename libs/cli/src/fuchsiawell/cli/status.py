"""The command `status`: print the main metrics of running daemons."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok, Result

from fuchsiawell.cli.exit_status import ExitStatus, fail
from fuchsiawell.cli.page import read_page

__all__ = ["DaemonMetrics", "parse_metrics", "status"]

METRIC_PREFIX = "fuchsiawell_"
SHOWN_METRICS = (
    "configuration_version",
    "backends",
    "peers",
    "granting",
    "busy_requests",
    "connections_opened",
)


@dataclass(frozen=True)
class DaemonMetrics:
    """Metrics of one daemon; series that differ only in labels are summed."""

    address: str
    by_name: dict[str, float] = field(default_factory=dict)


def status(*daemons: str) -> ExitStatus:
    """Print one line for each daemon, and a note for each inconsistency between daemons.

    :param daemons: metrics addresses, each as HOST:PORT
    """
    if not daemons:
        return fail("status needs at least one daemon", ExitStatus.USAGE_ERROR)
    results = asyncio.run(_scrape_all(daemons))
    scraped = [result.ok_value for result in results if isinstance(result, Ok)]
    for metrics in scraped:
        shown = " ".join(f"{name}={metrics.by_name.get(name, 0):g}" for name in SHOWN_METRICS)
        answers = metrics.by_name.get("answers_total", 0)
        refusals = metrics.by_name.get("refusals_total", 0)
        print(f"{metrics.address} {shown} answers={answers:g} refusals={refusals:g}")
    for result in results:
        if isinstance(result, Err):
            fail(result.err_value)
    versions = {metrics.by_name.get("configuration_version") for metrics in scraped}
    if len(versions) > 1:
        print(f"note: active configuration versions differ: {sorted(v or 0 for v in versions)}")
    granting = sum(metrics.by_name.get("granting", 0) for metrics in scraped)
    if granting != 1:
        print(
            f"note: {granting:g} of these daemons are the elected granter; a site has exactly one"
        )
    return ExitStatus.OK if len(scraped) == len(results) else ExitStatus.FAILED


def parse_metrics(address: str, text: str) -> DaemonMetrics:
    """Parse a metrics page; lines that are not metrics are skipped."""
    by_name: dict[str, float] = {}
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        name = name.partition("{")[0].removeprefix(METRIC_PREFIX)
        try:
            by_name[name] = by_name.get(name, 0.0) + float(value)
        except ValueError:
            continue
    return DaemonMetrics(address, by_name)


async def _scrape_all(addresses: tuple[str, ...]) -> list[Result[DaemonMetrics, str]]:
    return await asyncio.gather(*(_scrape(address) for address in addresses))


async def _scrape(address: str) -> Result[DaemonMetrics, str]:
    page = await read_page(address, "/metrics")
    return page.map(lambda text: parse_metrics(address, text)).map_err(
        lambda reason: f"cannot read metrics of daemon at {address}: {reason}"
    )
