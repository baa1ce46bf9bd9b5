from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import pytest
from aiosonic import HTTPClient
from aiosonic.exceptions import ConnectionDisconnected

from fuchsiawell.platform import ABSENT, HttpHostList, HttpStore
from fuchsiawell.standins.backend import Ending, read_executions
from fuchsiawell.standins.process import ProcessGroup, StartError, free_port

if TYPE_CHECKING:
    from pathlib import Path


async def test_the_standins_run_as_processes_and_all_are_ended(tmp_path: Path) -> None:
    file = tmp_path / "executions.jsonl"
    with ProcessGroup(tmp_path) as group:
        store = group.start_standin("store", "store", free_port())
        hosts = group.start_standin("hosts", "hosts", free_port())
        argv = ["--id", "pw-1", "--no-checks-fence", "--executions-file", str(file)]
        backend = group.start_standin("pw-1", "backend", free_port(), argv)
        for process in (store, hosts, backend):
            await process.wait_until_ready()
        client = HttpStore(store.address, 10.0)
        assert (await client.put("a", b"1", ABSENT)).is_ok()
        await client.close()
        assert (await HttpHostList(hosts.address, 10.0).hosts()).unwrap() == []
        answer = await HTTPClient().post(f"http://{backend.address}/penwatch/check/pen-7")
        assert answer.status_code == 200
        backend.kill()
        assert backend.exit_code == -9
        assert [run.ending for run in read_executions(file)] == [Ending.DONE]
        store.pause()
        store.resume()
        assert len(group.living) == 2
        hosts.pause()
    assert group.living == []


async def test_a_poisonous_request_ends_the_server(tmp_path: Path) -> None:
    with ProcessGroup(tmp_path) as group:
        argv = ["--id", "pw-1", "--no-checks-fence"]
        backend = group.start_standin("pw-1", "backend", free_port(), argv)
        await backend.wait_until_ready()
        with pytest.raises(ConnectionDisconnected):
            await HTTPClient().post(f"http://{backend.address}/a/b/standin-poison")
        assert await backend.wait(30.0) == 70


async def test_a_process_that_ends_at_once_is_told_with_its_log(tmp_path: Path) -> None:
    with ProcessGroup(tmp_path) as group:
        argv = [sys.executable, "-c", "raise SystemExit('no such thing')"]
        process = group.start("broken", argv, free_port())
        with pytest.raises(StartError, match="start at broken: exit 1: no such thing"):
            await process.wait_until_ready()
        assert group.living == []


def test_ports_are_given_once() -> None:
    assert len({free_port() for _ in range(50)}) == 50
