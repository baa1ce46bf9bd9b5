"""The command `explain`: where a request would go now, and why, without sending it."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import urlencode

from result import Err

from fuchsiawell.cli.exit_status import ExitStatus, fail
from fuchsiawell.cli.page import read_page

__all__ = ["explain", "format_explanation"]


def explain(
    daemon: str,
    url: str,
    *,
    key: int | None = None,
    time_left_ms: int | None = None,
    as_json: bool = False,
) -> ExitStatus:
    """Ask a running daemon where a request would go now, and why; nothing is sent to a server.

    :param daemon: metrics address of the daemon, as HOST:PORT
    :param url: host and path of the request, as HOST/PATH
    :param key: key of the request, for services that are divided by key
    :param time_left_ms: how long the client still waits; the route's timeout if left out
    :param as_json: print the daemon's answer as JSON
    """
    host, slash, path = url.partition("/")
    if not host or not slash:
        return fail(f"{url!r} is not of the form HOST/PATH", ExitStatus.USAGE_ERROR)
    query: dict[str, object] = {"host": host, "path": "/" + path}
    if key is not None:
        query["key"] = key
    if time_left_ms is not None:
        query["time_left_ms"] = time_left_ms
    result = asyncio.run(read_page(daemon, f"/explain?{urlencode(query)}"))
    if isinstance(result, Err):
        return fail(f"cannot ask daemon at {daemon}: {result.err_value}")
    try:
        report = json.loads(result.ok_value)
        if not isinstance(report, dict):
            raise ValueError("not an object")
    except ValueError:
        return fail(f"daemon at {daemon} does not explain: it may run an earlier release")
    if "error" in report:
        return fail(report["error"], ExitStatus.USAGE_ERROR)
    print(json.dumps(report, indent=2) if as_json else format_explanation(report))
    return ExitStatus.OK


def format_explanation(report: dict[str, Any]) -> str:
    """Return an explanation as text."""
    lines = [
        f"daemon {report['daemon']}: ready {_yes(report['ready'])}, reaches servers "
        f"{_yes(report['reaches_servers'])}, last confirmed by the store "
        f"{report['store_age_ms']} ms ago"
    ]
    if "configuration_version" in report:
        lines.append(f"configuration {report['configuration_version']}")
    if "why" in report:
        lines.append(f"{report['decision']}: {report['why']}")
    if "route" in report:
        fields = " ".join(f"{name}={value}" for name, value in report["route"].items())
        lines.append(f"route {fields}")
    for part in report.get("services", []):
        lines.append(f"service {part['service']}, share {part['share']}: {_decision(part)}")
        if "fence" in part:
            lines.append(
                f"  keys {part['keys'][0]} to {part['keys'][1]}: owner {part['owner']}, "
                f"fence {part['fence']}, term {part['term']} of {part['granter']}, "
                f"moving {_yes(part['moving'])}"
            )
        if "zone_loads" in part:
            loads = ", ".join(f"{zone} {load}" for zone, load in part["zone_loads"].items())
            lines.append(
                f"  responses of about {part['response_bytes']} bytes; requests in flight per "
                f"slot by zone: {loads}"
            )
        lines += [f"  {_server(server)}" for server in part["servers"]]
    lines += [f"not known: {text}" for text in report["unknown"]]
    return "\n".join(lines)


def _decision(part: dict[str, Any]) -> str:
    if part["decision"] == "sent":
        return f"sent to {part['server']} at {part['peer']}"
    text = f"{part['decision']}: {part['why']}"
    if "retry_after_ms" in part:
        text += f"; may return after {part['retry_after_ms']} ms"
    return f"{text}; {part['queued_requests']} requests wait here"


def _server(server: dict[str, Any]) -> str:
    stopped = ", ".join(server["stopped_by"]) or "passes all checks"
    if "zone" not in server:
        return f"{server['server']}: {stopped}"
    return (
        f"{server['server']} in {server['zone']}: {stopped}; cost {server['cost_ms']} ms, "
        f"{server['in_flight']} in flight ({server['own_in_flight']} own) on {server['slots']} "
        f"slots, latency factor {server['latency_factor']}, failures {server['failure_rate']}"
    )


def _yes(value: bool) -> str:
    return "yes" if value else "no"
