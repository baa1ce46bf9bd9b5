"""Base exception with the step that failed and the peer involved."""

from __future__ import annotations

__all__ = ["FuchsiawellError"]


class FuchsiawellError(Exception):
    """Base class of errors that name the failed step and the peer."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} at {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail
