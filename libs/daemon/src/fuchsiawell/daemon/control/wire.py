"""Control messages between daemons as msgpack arrays."""

from __future__ import annotations

from enum import StrEnum, unique
from typing import TYPE_CHECKING, Any, TypeVar

from fuchsiawell.core import DaemonId, FuchsiawellError, ServerId, ServiceName, ShardId
from fuchsiawell.ownership import (
    Fact,
    HandedOver,
    Heartbeat,
    MoveShard,
    PinKey,
    Released,
    Request,
    ServerDraining,
    ServerLost,
    ServerReached,
    ServerReturned,
    UnpinKey,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = [
    "ControlKind",
    "ControlMessageError",
    "facts_from_wire",
    "facts_to_wire",
    "heartbeat_from_wire",
    "heartbeat_to_wire",
    "requests_from_wire",
    "requests_to_wire",
]

MS_PER_S = 1000

T = TypeVar("T")


@unique
class ControlKind(StrEnum):
    """Name the control messages of this package; kept short, as one goes out every few ms."""

    HEARTBEAT = "hb"
    FACTS = "facts"  # what a leader states to the controller
    ASK = "ask"  # moves and pins that a balancer or an operator asks for
    WANT = "want"  # revision and version held; the answer is what is newer
    ASSIGNMENT = "assignment"  # revision and record
    CONFIGURATION = "configuration"  # record
    LOAD = "load"  # a leader's load report to the controller


class ControlMessageError(FuchsiawellError):
    """Report a control message that does not have the expected shape."""


ServerFact = HandedOver | ServerLost | ServerReturned | ServerReached | ServerDraining

_SERVER_FACTS: dict[str, type[ServerFact]] = {
    "handed": HandedOver,
    "lost": ServerLost,
    "returned": ServerReturned,
    "reached": ServerReached,
    "draining": ServerDraining,
}
_NAMES_BY_FACT = {kind: name for name, kind in _SERVER_FACTS.items()}


def heartbeat_to_wire(heartbeat: Heartbeat) -> list[Any]:
    """Return the fields in order; silences in milliseconds."""
    return [
        heartbeat.sender,
        heartbeat.zone,
        heartbeat.incarnation,
        heartbeat.sequence,
        heartbeat.echo_incarnation,
        heartbeat.echo_sequence,
        heartbeat.acting,
        heartbeat.leaving,
        heartbeat.has_store,
        heartbeat.revision,
        heartbeat.members_version,
        heartbeat.configuration_version,
        {id: int(s * MS_PER_S) for id, s in heartbeat.silent_s_by_member.items()},
    ]


def heartbeat_from_wire(fields: list[Any], sender: DaemonId) -> Heartbeat:
    """Return the heartbeat that `sender` sent."""

    def read() -> Heartbeat:
        name, *rest, silences = fields
        if name != sender:
            raise ValueError(f"heartbeat of {name}")
        by_member = {DaemonId(id): ms / MS_PER_S for id, ms in silences.items()}
        return Heartbeat(*[sender, *rest, by_member])

    return _checked("heartbeat", sender, read)


def facts_to_wire(facts: Iterable[Fact]) -> list[list[Any]]:
    """Return one array a fact."""
    return [_fact_to_wire(fact) for fact in facts]


def facts_from_wire(body: list[list[Any]], sender: DaemonId) -> frozenset[Fact]:
    """Return the facts that `sender` states."""
    return _checked("facts", sender, lambda: frozenset(_fact_from_wire(item) for item in body))


def requests_to_wire(requests: Iterable[Request]) -> list[list[Any]]:
    """Return one array a request."""
    return [_request_to_wire(request) for request in requests]


def requests_from_wire(body: list[list[Any]], sender: DaemonId) -> tuple[Request, ...]:
    """Return the requests that `sender` asks for."""
    return _checked("ask", sender, lambda: tuple(_request_from_wire(item) for item in body))


def _fact_to_wire(fact: Fact) -> list[Any]:
    if isinstance(fact, Released):
        return ["released", fact.shard.service, fact.shard.index, fact.epoch]
    return [_NAMES_BY_FACT[type(fact)], fact.server, fact.term]


def _fact_from_wire(item: list[Any]) -> Fact:
    match item:
        case ["released", str(service), int(index), int(epoch)]:
            return Released(ShardId(ServiceName(service), index), epoch)
        case [str(kind), str(server), int(term)] if kind in _SERVER_FACTS:
            return _SERVER_FACTS[kind](ServerId(server), term)
        case _:
            raise ValueError(f"unknown fact {item!r}")


def _request_to_wire(request: Request) -> list[Any]:
    match request:
        case MoveShard(shard, to):
            return ["move", shard.service, shard.index, to]
        case PinKey(service, key, to):
            return ["pin", service, key, to]
        case UnpinKey(service, key):
            return ["unpin", service, key]


def _request_from_wire(item: list[Any]) -> Request:
    match item:
        case ["move", str(service), int(index), str(to)]:
            return MoveShard(ShardId(ServiceName(service), index), ServerId(to))
        case ["pin", str(service), str(key), str(to)]:
            return PinKey(ServiceName(service), key, ServerId(to))
        case ["unpin", str(service), str(key)]:
            return UnpinKey(ServiceName(service), key)
        case _:
            raise ValueError(f"unknown request {item!r}")


def _checked(kind: str, sender: DaemonId, read: Callable[[], T]) -> T:
    try:
        return read()
    except (ValueError, TypeError, AttributeError) as error:
        raise ControlMessageError(f"read {kind}", sender, str(error)) from error
