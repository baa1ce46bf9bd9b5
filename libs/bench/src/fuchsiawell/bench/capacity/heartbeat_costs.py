"""What heartbeats cost a daemon, by the members of its cell."""

from __future__ import annotations

from dataclasses import astuple
from typing import TYPE_CHECKING

import msgpack

from fuchsiawell.bench.capacity.slopes import cpu_us, report
from fuchsiawell.core import DaemonId
from fuchsiawell.ownership.membership import HEARTBEAT_S, Membership

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiawell.bench.measurement import Measurement

__all__ = ["measure_heartbeats"]

MEMBER_COUNTS = (3, 6, 12, 24)
ROUNDS = 8  # until every member echoes every other


def measure_heartbeats() -> Iterator[Measurement]:
    """Yield processor time and bytes a second of one daemon, by the other members of its cell.

    One round makes a heartbeat for each other member, packs it as the fields of its class, and
    unpacks and takes in as many. The stream's frame and the sockets are not in the figure.
    """
    points_us, points_bytes = [], []
    for members in MEMBER_COUNTS:
        cell = _warm_cell(members)
        others = members - 1
        points_us.append((float(others), _round_us(cell)))
        points_bytes.append((float(others), float(_round_bytes(cell))))
    yield from report("heartbeat-round-cpu", "us", "other member", points_us)
    yield from report("heartbeat-round-bytes", "B", "other member", points_bytes)


def _warm_cell(members: int) -> list[Membership]:
    ids = tuple(DaemonId(f"daemon-{number:02}") for number in range(members))
    cell = [Membership(id, "zone-1", 1, 0.0) for id in ids]
    for membership in cell:
        membership.set_members(ids, 1, confirmed=True, now_s=0.0)
    for turn in range(1, ROUNDS + 1):
        _exchange(cell, turn * HEARTBEAT_S)
    return cell


def _exchange(cell: list[Membership], now_s: float) -> None:
    by_id = {membership.self_id: membership for membership in cell}
    sent = {one.self_id: one.heartbeats(now_s, by_id) for one in cell}
    for heartbeats in sent.values():
        for receiver, heartbeat in heartbeats.items():
            by_id[receiver].on_heartbeat(heartbeat, now_s)


def _round_us(cell: list[Membership]) -> float:
    ids = [membership.self_id for membership in cell]
    now_s = (ROUNDS + 1) * HEARTBEAT_S
    one, peers = cell[0], cell[1:]
    incoming = [peer.heartbeats(now_s, ids)[one.self_id] for peer in peers]
    packed = [msgpack.packb(astuple(heartbeat)) for heartbeat in incoming]

    def one_round() -> None:
        for heartbeat in one.heartbeats(now_s, ids).values():
            msgpack.packb(astuple(heartbeat))
        for value, heartbeat in zip(packed, incoming, strict=True):
            msgpack.unpackb(value)
            one.on_heartbeat(heartbeat, now_s)

    return cpu_us(one_round)


def _round_bytes(cell: list[Membership]) -> int:
    ids = [membership.self_id for membership in cell]
    sent = cell[0].heartbeats((ROUNDS + 2) * HEARTBEAT_S, ids)
    return sum(len(msgpack.packb(astuple(heartbeat))) for heartbeat in sent.values())
