"""Errors that carry the step and the peer at which they arose."""

from __future__ import annotations

__all__ = ["FuchsiawellError"]


class FuchsiawellError(Exception):
    """Base of all errors this project raises on purpose."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} at {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.detail = detail
