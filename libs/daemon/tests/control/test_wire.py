from __future__ import annotations

import msgpack
import pytest

from fuchsiawell.core import DaemonId, ServerId, ServiceName, ShardId
from fuchsiawell.daemon.control.wire import (
    ControlMessageError,
    facts_from_wire,
    facts_to_wire,
    heartbeat_from_wire,
    heartbeat_to_wire,
    requests_from_wire,
    requests_to_wire,
)
from fuchsiawell.ownership import (
    HandedOver,
    Heartbeat,
    MoveShard,
    PinKey,
    Released,
    ServerDraining,
    ServerLost,
    ServerReached,
    ServerReturned,
    UnpinKey,
)

D1, S1, SERVICE = DaemonId("d1"), ServerId("s1"), ServiceName("penwatch")
SHARD = ShardId(SERVICE, 7)
HEARTBEAT = Heartbeat(D1, "vuda", 5, 6, 7, 8, True, False, True, 9, 10, 11, {DaemonId("d2"): 0.75})
SERVER_FACTS = (HandedOver, ServerLost, ServerReturned, ServerReached, ServerDraining)
FACTS = frozenset([Released(SHARD, 3), *(kind(S1, 4) for kind in SERVER_FACTS)])
REQUESTS = (MoveShard(SHARD, S1), PinKey(SERVICE, "pen", S1), UnpinKey(SERVICE, "pen"))


def sent(body: object) -> list[object]:
    return list(msgpack.unpackb(msgpack.packb(body)))


def test_messages_survive_the_way() -> None:
    assert heartbeat_from_wire(sent(heartbeat_to_wire(HEARTBEAT)), D1) == HEARTBEAT
    assert facts_from_wire(sent(facts_to_wire(FACTS)), D1) == FACTS
    assert requests_from_wire(sent(requests_to_wire(REQUESTS)), D1) == REQUESTS


@pytest.mark.parametrize("body", [[], [1], [["lost", 3, 4]], [["unheard of", "s1", 4]], {"a": 1}])
def test_foreign_messages_are_refused_with_their_sender(body: object) -> None:
    with pytest.raises(ControlMessageError, match="at d9"):
        heartbeat_from_wire(body, DaemonId("d9"))  # type: ignore[arg-type]
    if body:
        with pytest.raises(ControlMessageError, match="at d9"):
            facts_from_wire(body, DaemonId("d9"))  # type: ignore[arg-type]
        with pytest.raises(ControlMessageError, match="at d9"):
            requests_from_wire(body, DaemonId("d9"))  # type: ignore[arg-type]


def test_a_heartbeat_in_another_name_is_refused() -> None:
    with pytest.raises(ControlMessageError, match="heartbeat of d1"):
        heartbeat_from_wire(heartbeat_to_wire(HEARTBEAT), DaemonId("d2"))
