"""What changes from one configuration to another, for operators to read."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields, is_dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiawell.config import Configuration

__all__ = ["Difference", "differences"]

ABSENT = "(absent)"
PRESENT = "(present)"
SUFFIX = "_by_name"


@dataclass(frozen=True, slots=True)
class Difference:
    """Hold one rule before and after."""

    place: str
    before: str
    after: str

    def __str__(self) -> str:
        """Return the change as one line."""
        return f"{self.place}: {self.before} -> {self.after}"


def differences(before: Configuration | None, after: Configuration | None) -> list[Difference]:
    """Return every rule that differs, ordered by place; the version is left out.

    What is there on one side only, such as a kind, is one difference.
    """
    found = _compare(before, after, "")
    return sorted((f for f in found if f.place != "version"), key=lambda f: f.place)


def _compare(before: Any, after: Any, place: str) -> Iterator[Difference]:
    if is_dataclass(before) and is_dataclass(after):
        for field in fields(before):
            inner = _inside(place, field.name)
            yield from _compare(getattr(before, field.name), getattr(after, field.name), inner)
    elif isinstance(before, Mapping) and isinstance(after, Mapping):
        for name in before.keys() | after.keys():
            yield from _compare(before.get(name), after.get(name), f"{place}[{name}]")
    elif before != after:
        yield Difference(place or "configuration", _shown(before), _shown(after))


def _shown(value: Any) -> str:
    if value is None:
        return ABSENT
    if is_dataclass(value):
        return PRESENT
    if isinstance(value, tuple):
        return ", ".join(str(entry) for entry in value)
    return str(value)


def _inside(place: str, name: str) -> str:
    short = name.removesuffix(SUFFIX)
    return f"{place}.{short}" if place else short
