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
    "SearchIncompleteError",
    "Spec",
    "Step",
    "Trace",
    "check",
    "find_violation",
]

STATE_FIELD = "state"  # the only field of a minicheck state; its value is the whole state
MAX_STATES = 2_000_000  # above the size of every specification here; a larger search is an error


class Step(NamedTuple):
    """A possible step: what happens, and the state after it."""

    label: str
    after: Any


@dataclass(frozen=True, slots=True)
class Spec:
    """A protocol: its initial state, the steps from a state, and what must hold in each state.

    A state is a named tuple of numbers and booleans, which hashes fast enough for exhaustive
    search. `goals` are states that must be reachable: without them the properties could hold
    only because nothing happens.
    """

    name: str
    initial: Any
    steps: Callable[[Any], Iterable[Step]]
    properties: dict[str, Callable[[Any], bool]]
    goals: dict[str, Callable[[Any], bool]]


@dataclass(frozen=True, slots=True)
class Trace:
    """A shortest path from the initial state to one that violates a property."""

    property: str
    labels: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Finding:
    """The result of an exhaustive search."""

    spec: str
    states: int
    violations: dict[str, Trace]  # by property
    unreached_goals: tuple[str, ...]

    @property
    def holds(self) -> bool:
        """Tell whether every property holds in every state and every goal is reachable."""
        return not self.violations and not self.unreached_goals


class SearchIncompleteError(FuchsiawellError):
    """A search ended before it visited all states."""


def check(spec: Spec) -> Finding:
    """Search all states; raises SearchIncompleteError if there are too many."""
    reached: set[str] = set()

    def steps(state: Any) -> list[Step]:
        for name in spec.goals.keys() - reached:
            if spec.goals[name](state):
                reached.add(name)
        return list(spec.steps(state))

    result = check_safety(_protocol(spec, steps), max_states=MAX_STATES)
    if not result["exhaustive"]:
        raise SearchIncompleteError("check", spec.name, result["incomplete_reason"])
    return Finding(
        spec.name, result["reachable_states"], _traces(result), tuple(spec.goals.keys() - reached)
    )


def find_violation(spec: Spec, property: str) -> Trace | None:
    """Return a shortest trace that violates `property`, or `None` if it holds in every state.

    The search ends at the first violation; raises SearchIncompleteError if there are too many
    states.
    """
    violated = False

    def steps(state: Any) -> list[Step]:
        nonlocal violated
        if violated:
            return []
        next_steps = list(spec.steps(state))
        violated = any(not spec.properties[property](after) for _, after in next_steps)
        return next_steps

    result = check_safety(_protocol(spec, steps), max_states=MAX_STATES)
    trace = _traces(result).get(property)
    if trace is None and not result["exhaustive"]:
        raise SearchIncompleteError("check", spec.name, result["incomplete_reason"])
    return trace


def _protocol(spec: Spec, steps: Callable[[Any], list[Step]]) -> Protocol:
    """Wrap each state as a single field, so that minicheck does not split it at each step."""
    return Protocol(
        name=spec.name,
        candidate=False,
        fields=(STATE_FIELD,),
        initial=(spec.initial,),
        transitions=lambda values: [(label, (after,)) for label, after in steps(values[0])],
        invariants={
            name: lambda values, holds=holds: holds(values[STATE_FIELD])
            for name, holds in spec.properties.items()
        },
    )


def _traces(result: dict[str, Any]) -> dict[str, Trace]:
    return {
        name: Trace(name, tuple(step["label"] for step in outcome["counterexample"][1:]))
        for name, outcome in result["properties"].items()
        if outcome["holds"] is False
    }
