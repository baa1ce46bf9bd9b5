"""Small pages of a daemon: readiness for the platform, metrics for a collector."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.httpio import BadRequestError, Channel, HeadLimits, ServerConnection

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["PageServer"]

LIMITS = HeadLimits(idle_timeout_s=30.0, head_timeout_s=3.0, max_header_bytes=8192)


class PageServer:
    """Answer every GET with what `page` returns: a status and a text."""

    def __init__(self, page: Callable[[], tuple[int, str]]) -> None:
        self._page = page
        self._tasks: set[asyncio.Task[None]] = set()

    def accept(self, channel: Channel) -> None:
        """Serve a new connection."""
        task = asyncio.get_running_loop().create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, channel: Channel) -> None:
        connection = ServerConnection(channel, LIMITS)
        try:
            while await connection.next_request() is not None:
                while await connection.read_body_chunk() is not None:
                    pass
                status, text = self._page()
                fields = [(b"content-type", b"text/plain; charset=utf-8")]
                await connection.send_response(status, fields, text.encode(), close_after=False)
        except (ConnectionError, BadRequestError):
            # A checker that breaks off asks again; there is nothing to keep for it.
            return
        finally:
            channel.close()
