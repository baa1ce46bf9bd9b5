"""Explain where a request would go now, and why, without sending it."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from fuchsiawell.gateway.execute.client_request import ClientRequest
from fuchsiawell.gateway.execute.refusal import Refusal
from fuchsiawell.httpio import RequestHead

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.placement import Placement
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.routing import Route, WeightedService

__all__ = ["ExplanationPage", "ExplanationQuery", "parse_query"]

MAX_TIME_LEFT_MS = 3_600_000
# Servers listed of a service without keys, the cheapest first.
MAX_LISTED_SERVERS = 20
# What no daemon can tell before it sends the request.
UNKNOWN = (
    "whether the server accepts the request when it arrives",
    "what other daemons send in the meantime: their reports are up to a second old",
    "the random choice among equal servers and among the parts of a split",
)


@dataclass(frozen=True)
class ExplanationQuery:
    """The request to explain."""

    host: str
    path: str
    key: int | None
    # None: what the route allows.
    time_left_ms: int | None


def parse_query(target: str) -> ExplanationQuery:
    """Return the query of a request target; raises ValueError that names the parameter."""
    values = {name: texts[-1] for name, texts in parse_qs(urlsplit(target).query).items()}
    unknown = sorted(values.keys() - {"host", "path", "key", "time_left_ms"})
    if unknown:
        raise ValueError(f"{unknown[0]}: unknown parameter")
    host, path = values.get("host", ""), values.get("path", "")
    if not host:
        raise ValueError("host: missing")
    if not path.startswith("/"):
        raise ValueError("path: must begin with /")
    return ExplanationQuery(
        host.lower().partition(":")[0],
        path.partition("?")[0],
        _number("key", values.get("key"), 65535),
        _number("time_left_ms", values.get("time_left_ms"), MAX_TIME_LEFT_MS),
    )


class ExplanationPage:
    """The decision on a request, by the code that places requests; nothing is reserved or sent."""

    def __init__(self, session: Session, placement: Placement) -> None:
        self._session = session
        self._placement = placement

    def render(self, target: str) -> tuple[int, str]:
        """Return status and JSON text for a request target with the query."""
        try:
            query = parse_query(target)
        except ValueError as error:
            return 400, json.dumps({"error": str(error)}) + "\n"
        return 200, json.dumps(self.explain(query)) + "\n"

    def explain(self, query: ExplanationQuery) -> dict[str, Any]:
        """Return the decision for each service that the request may go to."""
        session = self._session
        report: dict[str, Any] = {
            "daemon": session.settings.daemon,
            "ready": session.ready,
            "reaches_servers": not session.reachability.cut_off,
            "store_age_ms": round(session.store_age_s * 1000),
            "unknown": list(UNKNOWN),
        }
        configuration = session.configuration
        if configuration is None:
            return {**report, "decision": "refused with 503", "why": "no configuration yet"}
        report["configuration_version"] = configuration.version
        route = configuration.find_route(query.host, query.path)
        if route is None:
            return {**report, "decision": "refused with 404", "why": "no route"}
        report["route"] = {
            "name": route.name,
            "path_prefix": route.path_prefix,
            "priority": route.priority,
            "target_latency_ms": round(route.target_latency.total_seconds() * 1000),
            "may_repeat": route.idempotency.value,
            "max_attempts": route.max_attempts,
        }
        total = sum(part.weight for part in route.traffic_split if part.weight > 0)
        report["services"] = [
            self._explain_part(query, route, part, total) for part in route.traffic_split
        ]
        return report

    def _explain_part(
        self, query: ExplanationQuery, route: Route, part: WeightedService, total: float
    ) -> dict[str, Any]:
        request = self._request(query, route, part.service)
        decision = self._placement.preview(request)
        result: dict[str, Any] = {
            "service": part.service,
            "share": round(max(0.0, part.weight) / total, 3) if total else 0.0,
            "time_left_ms": round((request.deadline_s - request.arrived_s) * 1000),
            "queued_requests": decision.queued,
        }
        match decision.result:
            case Refusal(reason=reason, retry_after=retry_after):
                result |= {"decision": "refused", "why": reason}
                if retry_after is not None:
                    result["retry_after_ms"] = round(retry_after.total_seconds() * 1000)
            case str(reason):
                result |= {"decision": "waits", "why": reason}
            case target:
                result |= {"decision": "sent", "server": target.backend_id, "peer": target.peer}
        result |= (
            self._assignment(request)
            if decision.needs_owner
            else self._zone_loads(request, decision.candidates)
        )
        result["servers"] = [self._server(request, b) for b in decision.candidates]
        result["servers"] = sorted(
            result["servers"], key=lambda s: (bool(s["stopped_by"]), s["cost_ms"], s["server"])
        )[:MAX_LISTED_SERVERS]
        return result

    def _assignment(self, request: ClientRequest) -> dict[str, Any]:
        session = self._session
        shard_map = session.shard_maps.get(request.service)
        if request.key is None or shard_map is None:
            return {"owner": None}
        assignment = shard_map.assignment_for(request.key)
        return {
            "owner": assignment.owner.incarnation_id if assignment.owner else None,
            "fence": assignment.fence,
            "term": shard_map.term,
            "granter": shard_map.granter,
            "keys": [assignment.first, assignment.last],
            "moving": session.is_blocked(request.service, request.key),
        }

    def _zone_loads(self, request: ClientRequest, backend_ids: list[str]) -> dict[str, Any]:
        """Return the loads by which servers of this zone may go before cheaper ones of others."""
        session, by_id = self._session, self._session.directory.by_id
        backends = [by_id[backend_id] for backend_id in backend_ids if backend_id in by_id]
        loads = session.backend_selector.zone_loads(
            backends, request.route.name, request.body.size_bytes, session.now_s
        )
        if loads is None:
            return {}
        return {
            "response_bytes": session.response_sizes.expected_bytes(request.route.name),
            "zone_loads": {b.zone: round(loads.load(b.zone), 2) for b in backends},
        }

    def _server(self, request: ClientRequest, backend_id: str) -> dict[str, Any]:
        session, now_s = self._session, self._session.now_s
        backend = session.directory.by_id.get(backend_id)
        if backend is None:
            return {"server": backend_id, "stopped_by": ["not listed"], "cost_ms": 0}
        cost = session.backend_selector.cost_s(
            backend, request.route.name, request.body.size_bytes, now_s
        )
        return {
            "server": backend.id,
            "incarnation": backend.incarnation,
            "zone": backend.zone,
            "cost_ms": round(cost * 1000, 1),
            "in_flight": session.requests_at(backend),
            "own_in_flight": session.in_flight_counts.own_count(backend.id),
            "slots": backend.slots,
            "latency_factor": round(session.latency_estimates.latency_factor(backend.id, now_s), 2),
            "failure_rate": round(session.outlier_detector.failure_rate(backend.id), 2),
            "stopped_by": self._placement.stopped_by(request, backend),
        }

    def _request(self, query: ExplanationQuery, route: Route, service: str) -> ClientRequest:
        now_s = self._session.now_s
        timeout_s = route.timeout.total_seconds()
        if query.time_left_ms is not None:
            timeout_s = min(timeout_s, query.time_left_ms / 1000)
        return ClientRequest(
            head=RequestHead(b"GET", query.path.encode(), []),
            request_id="",
            route=route,
            service=service,
            key=query.key,
            body=_EmptyBody(),  # type: ignore[arg-type]
            arrived_s=now_s,
            deadline_s=now_s + timeout_s,
            fingerprint=0,
        )


class _EmptyBody:
    size_bytes = 0


def _number(name: str, text: str | None, maximum: int) -> int | None:
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()) or len(text) > 9 or int(text) > maximum:
        raise ValueError(f"{name}: must be a whole number from 0 to {maximum}")
    return int(text)
