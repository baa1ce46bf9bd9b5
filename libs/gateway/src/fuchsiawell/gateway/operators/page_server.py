"""HTTP pages of a daemon: readiness for the platform, metrics and explanations for operators."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.httpio import BadRequestError, Channel, HeadLimits, ServerConnection

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["PageServer"]

HEAD_LIMITS = HeadLimits(idle_timeout_s=30.0, head_timeout_s=3.0, max_header_bytes=8192)


class PageServer:
    """Respond to a request with what `render_page` returns for its target: a status and a text."""

    def __init__(self, render_page: Callable[[str], tuple[int, str]]) -> None:
        self._render_page = render_page
        self._tasks: set[asyncio.Task[None]] = set()

    def accept(self, channel: Channel) -> None:
        """Serve a new connection."""
        task = asyncio.get_running_loop().create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, channel: Channel) -> None:
        connection = ServerConnection(channel, lambda: HEAD_LIMITS)
        try:
            while (head := await connection.next_request()) is not None:
                while await connection.read_body_chunk() is not None:
                    pass
                status, text = self._render_page(head.target.decode("latin-1"))
                fields = [(b"content-type", b"text/plain; charset=utf-8")]
                await connection.send_response(status, fields, text.encode(), close_after=False)
        except (ConnectionError, BadRequestError):
            # A client that disconnects polls again; no state is kept for it.
            return
        finally:
            channel.close()
