"""Datagrams that keep assignments known to daemons, also when the store has forgotten them."""

from __future__ import annotations

from dataclasses import dataclass, field

from fuchsiawell.gateway.control.message_fields import MAX_ERA, decode_number, decode_text
from fuchsiawell.shards import KEY_COUNT, Assignment, Owner

__all__ = [
    "MAX_ASSIGNMENTS",
    "AssignmentReplica",
    "MapMessage",
    "MapReply",
    "MapRequest",
    "NewerAssignments",
    "ReplicaAck",
    "WitnessReply",
    "WitnessRequest",
    "decode_assignment",
    "decode_key_range",
    "decode_map_body",
    "encode_assignment",
    "encode_map_body",
]

# Assignments in one datagram.
MAX_ASSIGNMENTS = 100
MAX_PORT = 65535


@dataclass(frozen=True)
class MapRequest:
    """Request for the assignments of a service whose fences are at least `min_fence`."""

    service: str
    min_fence: int


@dataclass(frozen=True)
class MapReply:
    """Some of the requested assignments."""

    service: str
    assignments: list[Assignment]


@dataclass(frozen=True)
class WitnessRequest:
    """Request to say whether a daemon knows the assignments of before an era of the store."""

    service: str
    era: int
    min_fence: int


@dataclass(frozen=True)
class WitnessReply:
    """The sender knows them; it has sent `newer` assignments whose fences are at least the asked.

    No daemon replies that has begun in that era: it knows only what the store has not forgotten.
    """

    service: str
    newer: int


@dataclass(frozen=True)
class AssignmentReplica:
    """Assignments that the granter has stored in an era and is about to grant."""

    service: str
    era: int
    term: int
    # Unique in a term.
    number: int
    assignments: list[Assignment]


@dataclass(frozen=True)
class ReplicaAck:
    """The sender keeps the assignments of a replica, and tells them to a new granter."""

    service: str
    term: int
    number: int


MapMessage = MapRequest | MapReply | WitnessRequest | WitnessReply | AssignmentReplica | ReplicaAck


@dataclass
class NewerAssignments:
    """Replies to requests for the assignments of a service, by sender."""

    # Parts of a divided range have the same fence.
    _by_sender: dict[str, set[Assignment]] = field(default_factory=dict)
    _count_by_witness: dict[str, int] = field(default_factory=dict)

    def add(self, sender: str, assignments: list[Assignment]) -> None:
        """Add assignments that a daemon knows."""
        self._by_sender.setdefault(sender, set()).update(assignments)

    def add_witness(self, sender: str, count: int) -> None:
        """Record that a daemon has known the last map of before, and has sent so many."""
        self._count_by_witness[sender] = count

    @property
    def in_order(self) -> list[Assignment]:
        """All assignments, in the order of their fences; a range before its parts."""
        assignments = set().union(*self._by_sender.values())
        return sorted(assignments, key=lambda a: (a.fence, -a.key_count, a.first))

    @property
    def witnesses(self) -> int:
        """Number of daemons that knew the last ones of before and all of whose have arrived.

        Daemons of an earlier release do not say whether they did.
        """
        return sum(
            len(self._by_sender.get(sender, ())) >= count
            for sender, count in self._count_by_witness.items()
        )


def encode_map_body(message: MapMessage) -> list[object]:
    match message:
        case MapRequest(service, min_fence):
            return ["n", service, min_fence]
        case MapReply(service, assignments):
            return ["j", service, [encode_assignment(a) for a in assignments]]
        case WitnessRequest(service, era, min_fence):
            return ["b", service, era, min_fence]
        case WitnessReply(service, newer):
            return ["d", service, newer]
        case AssignmentReplica(service, era, term, number, assignments):
            return ["R", service, era, term, number, [encode_assignment(a) for a in assignments]]
        case ReplicaAck(service, term, number):
            return ["A", service, term, number]


def decode_map_body(kind: object, body: list[object]) -> MapMessage:
    """Decode the fields of a message; raises TypeError or ValueError."""
    match kind, body:
        case "n", [service, min_fence]:
            return MapRequest(decode_text(service), decode_number(min_fence))
        case "j", [service, list(rows)]:
            return MapReply(decode_text(service), [decode_assignment(*row) for row in rows])
        case "b", [service, era, min_fence]:
            return WitnessRequest(
                decode_text(service), decode_number(era, MAX_ERA), decode_number(min_fence)
            )
        case "d", [service, newer]:
            return WitnessReply(decode_text(service), decode_number(newer))
        case "R", [service, era, term, number, list(rows)]:
            return AssignmentReplica(
                decode_text(service),
                decode_number(era, MAX_ERA),
                decode_number(term),
                decode_number(number),
                [decode_assignment(*row) for row in rows],
            )
        case "A", [service, term, number]:
            return ReplicaAck(decode_text(service), decode_number(term), decode_number(number))
        case _:
            raise ValueError(f"message kind {kind!r} has other fields")


def encode_assignment(assignment: Assignment) -> list[object]:
    owner = assignment.owner
    row = None if owner is None else [owner.backend_id, owner.incarnation, owner.host, owner.port]
    return [assignment.first, assignment.last, assignment.fence, row]


def decode_assignment(first: object, last: object, fence: object, owner: object) -> Assignment:
    first_key, last_key = decode_key_range(first, last)
    match owner:
        case None:
            return Assignment(first_key, last_key, decode_number(fence), None)
        case [backend_id, incarnation, host, port]:
            decoded = Owner(
                decode_text(backend_id),
                decode_number(incarnation),
                decode_text(host),
                decode_number(port, MAX_PORT),
            )
            return Assignment(first_key, last_key, decode_number(fence), decoded)
        case _:
            raise ValueError(f"owner {owner!r} is malformed")


def decode_key_range(first: object, last: object) -> tuple[int, int]:
    last_key = decode_number(last, KEY_COUNT - 1)
    return decode_number(first, last_key), last_key
