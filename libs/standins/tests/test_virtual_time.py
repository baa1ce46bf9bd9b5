from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.standins import MemoryNetwork, run_in_virtual_time

if TYPE_CHECKING:
    from fuchsiawell.httpio import Channel


# Guards against writes of the same moment that overtake each other on their connection.
def test_writes_on_a_connection_arrive_in_their_order() -> None:
    accepted: list[Channel] = []
    texts = [b"%d " % number for number in range(40)]

    async def run() -> None:
        network = MemoryNetwork(default_delay_s=0.5)
        network.listen("server", accepted.append)
        channels = [await network.open("client", "server", 1.0) for _ in range(10)]
        for text in texts:
            for channel in channels:
                channel.write(text)
        for server_channel in accepted:
            received = b""
            while len(received) < len(b"".join(texts)):
                received += await server_channel.receive()
            assert received == b"".join(texts)

    run_in_virtual_time(run())
