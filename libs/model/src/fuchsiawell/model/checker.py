"""Exhaustive breadth-first checking of small specifications, with `minicheck`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from minicheck import Protocol, check_safety

from fuchsiawell.core import FuchsiawellError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = [
    "MAX_STATES",
    "Finding",
    "Spec",
    "SpecIncompleteError",
    "Step",
    "Trace",
    "check",
    "reaches",
]

STATE = "state"  # the single field under which minicheck holds a whole state
MAX_STATES = 2_000_000  # more than any specification here has; a larger search is an error


class Step(NamedTuple):
    """Hold one possible step: what happens, and the state after it."""

    label: str
    after: Any


@dataclass(frozen=True, slots=True)
class Spec:
    """Describe a protocol: one initial state, all steps of a state, what must hold in each.

    A state is a named tuple of numbers and booleans, which hashes fast enough for exhaustive
    search. `goals` are states that must be reachable, or the properties would say little.
    """

    name: str
    initial: Any
    steps: Callable[[Any], Iterable[Step]]
    properties: dict[str, Callable[[Any], bool]]
    goals: dict[str, Callable[[Any], bool]]


@dataclass(frozen=True, slots=True)
class Trace:
    """Hold a shortest way from the initial state to one that breaks a property."""

    property: str
    labels: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Finding:
    """Hold the result of a whole search."""

    spec: str
    states: int
    broken: dict[str, Trace]  # by property
    missed_goals: tuple[str, ...]

    @property
    def holds(self) -> bool:
        """Tell whether every property holds in every state and every goal was reached."""
        return not self.broken and not self.missed_goals


class SpecIncompleteError(FuchsiawellError):
    """Report a search that ended before all states were seen."""


def check(spec: Spec) -> Finding:
    """Search all states; each broken property comes with a shortest trace."""
    reached: set[str] = set()

    def steps(state: Any) -> list[Step]:
        for name in spec.goals.keys() - reached:
            if spec.goals[name](state):
                reached.add(name)
        return list(spec.steps(state))

    result = check_safety(_protocol(spec, steps), max_states=MAX_STATES)
    if not result["exhaustive"]:
        raise SpecIncompleteError("check", spec.name, result["incomplete_reason"])
    return Finding(
        spec.name, result["reachable_states"], _traces(result), tuple(spec.goals.keys() - reached)
    )


def reaches(spec: Spec, property: str) -> Trace | None:
    """Search until `property` breaks; return a shortest trace, or `None` if it always holds."""
    broken = False

    def steps(state: Any) -> list[Step]:
        nonlocal broken
        if broken:
            return []
        found = list(spec.steps(state))
        broken = any(not spec.properties[property](after) for _, after in found)
        return found

    result = check_safety(_protocol(spec, steps), max_states=MAX_STATES)
    trace = _traces(result).get(property)
    if trace is None and not result["exhaustive"]:
        raise SpecIncompleteError("check", spec.name, result["incomplete_reason"])
    return trace


def _protocol(spec: Spec, steps: Callable[[Any], list[Step]]) -> Protocol:
    """Wrap each state as a single field, so that the checker does not take it apart each time."""
    return Protocol(
        name=spec.name,
        candidate=False,
        fields=(STATE,),
        initial=(spec.initial,),
        transitions=lambda wrapped: [(label, (after,)) for label, after in steps(wrapped[0])],
        invariants={
            name: lambda values, holds=holds: holds(values[STATE])
            for name, holds in spec.properties.items()
        },
    )


def _traces(result: dict[str, Any]) -> dict[str, Trace]:
    return {
        name: Trace(name, tuple(step["label"] for step in found["counterexample"][1:]))
        for name, found in result["properties"].items()
        if found["holds"] is False
    }
