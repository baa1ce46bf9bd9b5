from __future__ import annotations

import asyncio
from typing import cast

from fuchsiawell.daemon.entry.joining import JoiningTransport

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


class Recorder:
    def __init__(self) -> None:
        self.events: list[bytes] = []

    def write(self, data: bytes) -> None:
        self.events.append(data)

    def close(self) -> None:
        self.events.append(b"closed")


def joining() -> tuple[JoiningTransport, list[bytes]]:
    recorder = Recorder()
    return JoiningTransport(cast("asyncio.Transport", recorder)), recorder.events


async def test_head_and_body_leave_in_one_write() -> None:
    transport, events = joining()
    transport.write(HEAD)
    transport.write(b"body")
    transport.write(b"more")
    await asyncio.sleep(0)
    assert events == [HEAD + b"body", b"more"]


async def test_a_head_without_a_body_leaves_in_the_same_turn() -> None:
    transport, events = joining()
    transport.write(HEAD)
    await asyncio.sleep(0)
    assert events == [HEAD]


async def test_a_head_is_not_lost_when_the_connection_closes() -> None:
    transport, events = joining()
    transport.write(HEAD)
    transport.close()
    await asyncio.sleep(0)
    assert events == [HEAD, b"closed"]


async def test_a_body_that_looks_like_a_head_follows_its_own_head() -> None:
    transport, events = joining()
    transport.write(HEAD)
    transport.write(HEAD)
    await asyncio.sleep(0)
    assert events == [HEAD + HEAD]
