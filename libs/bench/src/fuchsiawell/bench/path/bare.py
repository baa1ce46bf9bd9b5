"""The baseline: an answer of 200 bytes from the same HTTP server, with nothing behind it."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import defopt

from fuchsiawell.config import Address
from fuchsiawell.daemon.embedded_server import EmbeddedServer

__all__ = ["main"]

BODY = b"x" * 200
HEADERS = [(b"content-length", b"200"), (b"content-type", b"text/plain")]


async def answer(scope: dict[str, Any], receive: Any, send: Any) -> None:
    """Answer any request at once."""
    await send({"type": "http.response.start", "status": 200, "headers": HEADERS})
    await send({"type": "http.response.body", "body": BODY})


async def _serve(port: int) -> None:
    server = EmbeddedServer(answer, Address("127.0.0.1", port), http="httptools")
    await server.start()
    await asyncio.Event().wait()


def main(*, port: int) -> None:
    """Serve bare answers until killed.

    :param port: port on the loopback address
    """
    asyncio.run(_serve(port))


if __name__ == "__main__":
    defopt.run(main, argv=sys.argv[1:])
