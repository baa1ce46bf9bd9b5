"""One request to an application without sockets, for tests that move time by hand."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from fuchsiawell.standins.serving import LINK, Link

if TYPE_CHECKING:
    from collections.abc import Mapping

    from starlette.types import ASGIApp, Message

__all__ = ["AsgiCall"]


class AsgiCall:
    """Start a request at once; its body may come later, and the caller may hang up."""

    def __init__(
        self,
        app: ASGIApp,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = b"",
    ) -> None:
        """Send `body` whole, or wait for `send_body` where it is `None`."""
        self._messages: asyncio.Queue[Message] = asyncio.Queue()
        self.link = Link(self)
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False
        if body is not None:
            self.send_body(body)
        path, _, query = path.partition("?")
        scope: dict[str, Any] = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": query.encode(),
            "headers": [(name.encode(), value.encode()) for name, value in (headers or {}).items()],
            LINK: self.link,
        }
        self.task = asyncio.ensure_future(app(scope, self._receive, self._send))

    def send_body(self, chunk: bytes, more: bool = False) -> None:
        """Send a part of the body, the last one unless `more` follows."""
        self._messages.put_nowait({"type": "http.request", "body": chunk, "more_body": more})

    def hang_up(self) -> None:
        """Lose the connection."""
        self.link.lost.set()
        self._messages.put_nowait({"type": "http.disconnect"})

    def json(self) -> Any:
        """Return the body of a whole answer as JSON."""
        return json.loads(self.body)

    def abort(self) -> None:
        """Be reset by the application."""
        self.hang_up()

    def close(self) -> None:
        """Be closed by the application."""
        self.hang_up()

    async def _receive(self) -> Message:
        return await self._messages.get()

    async def _send(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = {name.decode(): value.decode() for name, value in message["headers"]}
            return
        self.body += message.get("body", b"")
        self.whole = not message.get("more_body", False)
