"""What all models at the border share: strict parsing and readable mistakes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

from pydantic import BaseModel, ConfigDict, Field

if TYPE_CHECKING:
    from pydantic import ValidationError

__all__ = ["BorderModel", "Name", "mistakes_of"]

# Names stand in URLs and in keys of the store, so they hold nothing that needs escaping.
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class BorderModel(BaseModel):
    """Refuse unknown fields and values of another type."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


def mistakes_of(error: ValidationError) -> tuple[str, ...]:
    """Return one line a mistake, each naming its place in the document."""
    return tuple(
        f"{_place(found['loc'])}: {found['msg'].removeprefix('Value error, ')}"
        for found in error.errors(include_url=False)
    )


def _place(location: tuple[int | str, ...]) -> str:
    return ".".join(str(part) for part in location) or "document"
