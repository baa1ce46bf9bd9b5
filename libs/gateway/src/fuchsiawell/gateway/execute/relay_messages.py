"""What daemons tell each other in a header field about a request that one sends through another."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from fuchsiawell.gateway.execute.refusal import Refusal
from fuchsiawell.httpio import RequestHead, first_value

if TYPE_CHECKING:
    from fuchsiawell.httpio import Fields

__all__ = [
    "RELAY_FIELD",
    "PRIVATE_FIELDS",
    "RelayAnswer",
    "RelayOrder",
    "RelayReply",
    "RelayUnavailable",
    "decode_order",
    "decode_reply",
    "encode_message",
    "without_private_fields",
]

RELAY_FIELD = b"fuchsiawell-relay"
# Fields that are neither taken from clients nor passed on to clients or servers.
PRIVATE_FIELDS = frozenset({RELAY_FIELD})
MAX_REASON_LENGTH = 200
# Larger numbers are invalid.
MAX_NUMBER = 10**15


class RelayAnswer(StrEnum):
    """What the answer of a relay is."""

    # The response of a server.
    SERVED = "served"
    # The final answer of the relay itself.
    REFUSED = "refused"
    # Nothing was executed, and another daemon may do better.
    UNAVAILABLE = "unavailable"
    # Nothing was executed, as the configuration of the relay is not yet the one that is needed.
    OUTDATED = "outdated"


@dataclass(frozen=True)
class RelayOrder:
    """What a daemon that reaches no server asks of another one, beside the request itself."""

    # Version of the sender's configuration, by which it chose the service.
    version: int
    # The relay must have this version or a later one.
    min_version: int
    service: str
    max_attempts: int
    # Time since the request arrived from its client.
    age_ms: int
    # Whether retry budget and key counts of the sender include the request.
    counted: bool
    # Servers that were attempted before.
    attempted: tuple[str, ...] = ()


@dataclass(frozen=True)
class RelayReply:
    """What a relay says about its answer."""

    answer: RelayAnswer
    # Version of the relay's configuration, 0 while it has none.
    version: int
    reason: str = ""
    retry_after_ms: int | None = None
    # The server that sent the response.
    server: str = ""
    incarnation: str = ""
    # Servers that the relay has attempted.
    attempted: tuple[str, ...] = ()


@dataclass(frozen=True)
class RelayUnavailable(Refusal):
    """Refusal of a relay that has executed nothing: the sender may ask another daemon."""

    answer: RelayAnswer = RelayAnswer.UNAVAILABLE


def encode_message(message: RelayOrder | RelayReply) -> tuple[bytes, bytes]:
    """Return the header field."""
    values = asdict(message)
    if "reason" in values:
        values["reason"] = values["reason"][:MAX_REASON_LENGTH]
    return RELAY_FIELD, json.dumps(values, separators=(",", ":")).encode()


def decode_order(fields: Fields) -> RelayOrder:
    """Return the order in a request; raises ValueError."""
    values = _decode(fields)
    return RelayOrder(
        version=_integer(values, "version"),
        min_version=_integer(values, "min_version"),
        service=_text(values, "service"),
        max_attempts=_integer(values, "max_attempts"),
        age_ms=_integer(values, "age_ms"),
        counted=bool(values.get("counted")),
        attempted=_texts(values, "attempted"),
    )


def decode_reply(fields: Fields) -> RelayReply:
    """Return the reply in a response; raises ValueError."""
    values = _decode(fields)
    retry_after_ms = values.get("retry_after_ms")
    return RelayReply(
        answer=RelayAnswer(_text(values, "answer")),
        version=_integer(values, "version"),
        reason=_text(values, "reason"),
        retry_after_ms=None if retry_after_ms is None else _integer(values, "retry_after_ms"),
        server=_text(values, "server"),
        incarnation=_text(values, "incarnation"),
        attempted=_texts(values, "attempted"),
    )


def without_private_fields(head: RequestHead) -> RequestHead:
    """Return a head without the fields that only daemons use between them."""
    if first_value(head.fields, RELAY_FIELD) is None:
        return head
    fields = [(key, value) for key, value in head.fields if key not in PRIVATE_FIELDS]
    return RequestHead(head.method, head.target, fields)


def _decode(fields: Fields) -> dict[str, Any]:
    value = first_value(fields, RELAY_FIELD)
    if value is None:
        raise ValueError("no field of a daemon")
    # RecursionError: of deeply nested values.
    try:
        values = json.loads(value)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    if not isinstance(values, dict):
        raise ValueError("not an object")
    return values


def _integer(values: dict[str, Any], name: str) -> int:
    value = values.get(name)
    if not isinstance(value, int) or not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{name} is not a number")
    return value


def _text(values: dict[str, Any], name: str) -> str:
    value = values.get(name, "")
    if not isinstance(value, str):
        raise ValueError(f"{name} is not a text")
    return value


def _texts(values: dict[str, Any], name: str) -> tuple[str, ...]:
    texts = values.get(name, [])
    if not isinstance(texts, list) or not all(isinstance(text, str) for text in texts):
        raise ValueError(f"{name} is not a list of texts")
    return tuple(texts)
