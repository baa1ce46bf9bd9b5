"""Strict pydantic base model and readable validation errors for JSON documents."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

from pydantic import BaseModel, ConfigDict, Field

if TYPE_CHECKING:
    from pydantic import ValidationError

__all__ = ["Name", "StrictModel", "error_lines"]

# Names are part of URLs and of keys in the store, so they contain nothing that needs escaping.
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class StrictModel(BaseModel):
    """Reject unknown fields and values of another type."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


def error_lines(error: ValidationError) -> tuple[str, ...]:
    """Return one line per error, each with its path in the document."""
    return tuple(
        f"{_path(found['loc'])}: {found['msg'].removeprefix('Value error, ')}"
        for found in error.errors(include_url=False)
    )


def _path(location: tuple[int | str, ...]) -> str:
    return ".".join(str(part) for part in location) or "document"
