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
    """Return every rule that differs, ordered by place; the version is left out."""
    old = {} if before is None else dict(_flat(before, ""))
    new = {} if after is None else dict(_flat(after, ""))
    return [
        Difference(place, old.get(place, ABSENT), new.get(place, ABSENT))
        for place in sorted(old.keys() | new.keys())
        if old.get(place) != new.get(place) and place != "version"
    ]


def _flat(value: Any, place: str) -> Iterator[tuple[str, str]]:
    if is_dataclass(value):
        for field in fields(value):
            yield from _flat(getattr(value, field.name), _inside(place, field.name))
    elif isinstance(value, Mapping):
        for name, entry in value.items():
            yield from _flat(entry, f"{place}[{name}]")
    elif isinstance(value, tuple):
        yield place, ", ".join(str(entry) for entry in value)
    else:
        yield place, str(value)


def _inside(place: str, name: str) -> str:
    short = name.removesuffix(SUFFIX)
    return f"{place}.{short}" if place else short
