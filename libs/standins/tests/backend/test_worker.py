from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from fuchsiawell.standins.asgi_call import AsgiCall
from fuchsiawell.standins.backend import Backend, BackendSettings, BehaviourModel, Ending
from fuchsiawell.standins.backend.answers import download_chunk
from fuchsiawell.standins.manual_time import ManualTime

if TYPE_CHECKING:
    from collections.abc import Mapping

FENCE = {
    "fuchsiawell-term": "3",
    "fuchsiawell-shard": "penwatch/0",
    "fuchsiawell-epoch": "7",
}


class Bench:
    """A backend server in manual time, with a grant in force, and calls to it."""

    def __init__(self, **settings: Any) -> None:
        self.time = ManualTime()
        self.crashes = 0
        self.backend = Backend(
            BackendSettings("pw-1", **{"slots": 1, **settings}),
            self.time,
            BehaviourModel(service_time_s=1.0),
            sleep=self.time.sleep,
            crash=self._crash,
        )
        self.backend.grants.install(3, 60.0, {"penwatch/0": 7})

    def _crash(self) -> None:
        self.crashes += 1

    def call(
        self,
        request: str,
        path: str = "/penwatch/check/pen-7",
        headers: Mapping[str, str] | None = None,
        body: bytes | None = b"hello",
    ) -> AsgiCall:
        fields = {"fuchsiawell-request-id": request, **FENCE, **(headers or {})}
        return AsgiCall(self.backend.app, "POST", path, fields, body)

    async def own(self, method: str, path: str, body: bytes = b"") -> Any:
        call = AsgiCall(self.backend.app, method, path, {}, body)
        await self.time.settle()
        assert call.whole
        return call.json()

    async def cancel(self, request: str) -> str:
        answer = await self.own("POST", "/_owner/cancel", b'{"request": "%s"}' % request.encode())
        return str(answer["state"])

    def ran(self) -> list[tuple[str, Ending]]:
        return [(found.request, found.ending) for found in self.backend.log.all()]


def _refusal(call: AsgiCall) -> str | None:
    return call.headers.get("fuchsiawell-refused") if call.status == 503 else None


async def test_work_is_answered_whole_and_recorded() -> None:
    bench = Bench()
    call = bench.call("r1", headers={"idempotency-key": "k1", "standin-token": "mine"})
    await bench.time.run(1.0)
    assert (call.status, call.whole) == (200, True)
    answer = call.json()
    assert (answer["request"], answer["token"], answer["body_bytes"]) == ("r1", "mine", 5)
    assert answer["digest"].startswith("2cf24dba")
    (run,) = bench.backend.log.all()
    assert (run.idempotency_key, run.shard, run.epoch, run.term) == ("k1", "penwatch/0", 7, 3)
    assert (run.started_at_s, run.ended_at_s, run.ending) == (0.0, 1.0, Ending.DONE)


async def test_slots_and_queue_are_bounded() -> None:
    bench = Bench(slots=2, queue_limit=1)
    calls = [bench.call(f"r{number}") for number in range(4)]
    await bench.time.settle()
    assert len(bench.ran()) == 2
    assert _refusal(calls[3]) == "shed"
    await bench.time.run(2.0)
    assert [call.status for call in calls] == [200, 200, 200, 503]
    assert bench.backend.slots.peak_running == 2


async def test_a_deadline_that_passes_in_the_queue_refuses_the_work() -> None:
    bench = Bench()
    first = bench.call("r1")
    second = bench.call("r2", headers={"fuchsiawell-deadline-ms": "500"})
    late = bench.call("r3", headers={"fuchsiawell-deadline-ms": "0"})
    await bench.time.run(5.0)
    assert (first.status, _refusal(second), _refusal(late)) == (200, "deadline", "deadline")
    assert bench.ran() == [("r1", Ending.DONE)]


async def test_work_stops_at_its_deadline_where_the_server_checks_it() -> None:
    checking, careless = Bench(), Bench(checks_deadline=False)
    headers = {"fuchsiawell-deadline-ms": "500"}
    calls = [bench.call("r1", headers=headers) for bench in (checking, careless)]
    for bench in (checking, careless):
        await bench.time.run(2.0)
    assert [call.status for call in calls] == [None, 200]
    assert checking.ran() == [("r1", Ending.EXPIRED)]
    assert checking.backend.log.all()[0].ended_at_s == 0.5


async def test_the_grant_is_checked_when_the_work_starts() -> None:
    bench = Bench()
    bench.backend.grants.install(3, 0.9, {"penwatch/0": 7})
    running, queued = bench.call("r1"), bench.call("r2")
    uploading = Bench()
    upload = uploading.call("r3", body=None)
    await bench.time.run(2.0)
    assert (running.status, _refusal(queued)) == (200, "fence")
    await uploading.time.settle()
    upload.send_body(b"half", more=True)
    uploading.backend.grants.install(4, 60.0, {})
    upload.send_body(b"rest")
    await uploading.time.run(2.0)
    assert _refusal(upload) == "fence"
    assert uploading.ran() == []


@pytest.mark.parametrize("field", FENCE)
async def test_work_with_another_or_no_fence_is_refused(field: str) -> None:
    bench = Bench()
    calls = [bench.call("r1", headers={field: value}) for value in ("2", "", "nonsense")]
    await bench.time.run(1.0)
    assert [_refusal(call) for call in calls] == ["fence"] * 3


async def test_a_server_that_does_not_check_runs_what_comes_in_time() -> None:
    bench = Bench(checks_fence=False)
    call = AsgiCall(bench.backend.app, "POST", "/penwatch/check/pen-7")
    late = bench.call("r2", headers={"fuchsiawell-deadline-ms": "0"})
    grant = AsgiCall(bench.backend.app, "POST", "/_owner/grant", {}, b"{}")
    await bench.time.run(1.0)
    assert (call.status, _refusal(late), grant.status) == (200, "deadline", 404)


async def test_a_release_is_confirmed_once_nothing_of_the_shard_runs() -> None:
    bench = Bench(slots=2)
    running = bench.call("r1")
    await bench.time.run(0.5)
    body = b'{"term": 3, "shard": "penwatch/0"}'
    release = AsgiCall(bench.backend.app, "POST", "/_owner/release", {}, body)
    await bench.time.run(0.4)
    assert (release.status, running.status) == (None, None)
    refused = bench.call("r2")
    await bench.time.run(0.2)
    assert (release.status, running.status, _refusal(refused)) == (200, 200, "fence")
    assert bench.ran() == [("r1", Ending.DONE)]


async def test_an_upload_under_way_survives_a_new_leader_and_is_waited_for_by_a_release() -> None:
    bench = Bench(slots=2)
    upload = bench.call("r1", body=None)
    upload.send_body(b"half", more=True)
    await bench.time.settle()
    bench.backend.grants.install(4, 60.0, {"penwatch/0": 7})
    body = b'{"term": 4, "shard": "penwatch/0"}'
    release = AsgiCall(bench.backend.app, "POST", "/_owner/release", {}, body)
    await bench.time.run(1.0)
    late = bench.call("r2", headers={"fuchsiawell-term": "4"})
    await bench.time.settle()
    assert (release.status, _refusal(late)) == (None, "fence")
    upload.send_body(b"rest")
    await bench.time.run(1.5)
    assert (upload.status, release.status) == (200, 200)
    assert bench.ran() == [("r1", Ending.DONE)]


@pytest.mark.parametrize("epochs", [{}, {"penwatch/0": 8}])
async def test_an_upload_whose_shard_left_meanwhile_does_not_run(epochs: dict[str, int]) -> None:
    bench = Bench()
    upload = bench.call("r1", body=None)
    await bench.time.settle()
    bench.backend.grants.install(4, 60.0, epochs)
    upload.send_body(b"whole")
    await bench.time.run(2.0)
    assert (_refusal(upload), bench.ran()) == ("fence", [])


async def test_cancellation_says_how_far_the_work_had_come() -> None:
    bench = Bench()
    done = bench.call("r1")
    await bench.time.run(1.0)
    running, queued = bench.call("r2"), bench.call("r3")
    await bench.time.settle()
    states = [await bench.cancel(request) for request in ("r1", "r3", "r2", "r4")]
    assert states == ["done", "not-run", "running", "unknown"]
    await bench.time.run(5.0)
    assert (done.status, running.status, queued.status) == (200, None, 503)
    assert bench.ran() == [("r1", Ending.DONE), ("r2", Ending.CANCELLED)]


async def test_a_request_that_ran_before_is_never_called_not_run() -> None:
    bench = Bench()
    bench.call("r1")
    await bench.time.run(1.0)
    bench.call("r1", headers={"fuchsiawell-deadline-ms": "0"})
    await bench.time.settle()
    assert await bench.cancel("r1") == "done"


async def test_a_lost_connection_cancels_queued_and_running_work() -> None:
    bench = Bench()
    running, queued = bench.call("r1"), bench.call("r2")
    await bench.time.run(0.5)
    queued.hang_up()
    await bench.time.settle()
    assert bench.backend.slots.queued == 0
    running.hang_up()
    await bench.time.run(5.0)
    assert bench.ran() == [("r1", Ending.CANCELLED)]


async def test_a_body_that_is_cut_never_runs() -> None:
    bench = Bench()
    upload = bench.call("r1", body=None)
    upload.send_body(b"half", more=True)
    await bench.time.settle()
    upload.hang_up()
    await bench.time.run(5.0)
    assert (bench.ran(), bench.backend.worker.cut_bodies) == ([], 1)
    assert bench.backend.slots.running == 0


@pytest.mark.parametrize(
    ("change", "cause"), [({"draining": True}, "drain"), ({"shedding": True}, "shed")]
)
async def test_new_work_is_refused_and_the_rest_finished(
    change: dict[str, bool], cause: str
) -> None:
    bench = Bench()
    before = [bench.call("r1"), bench.call("r2")]
    await bench.time.settle()
    bench.backend.change(BehaviourModel(**{"service_time_s": 1.0, **change}))
    after = bench.call("r3")
    await bench.time.run(5.0)
    assert [call.status for call in before] == [200, 200]
    assert _refusal(after) == cause


async def test_poison_crashes_the_server_that_starts_it() -> None:
    bench = Bench(slots=4)
    bench.call("r1", path="/penwatch/check/standin-poison")
    bench.call("r2", headers={"x-note": "a standin-poison"})
    split = bench.call("r3", body=None)
    split.send_body(b"..stand", more=True)
    split.send_body(b"in-poison..")
    bench.call("r4", body=b"standin-poiso")
    await bench.time.run(1.0)
    assert bench.crashes == 3
    endings = [ending for _, ending in bench.ran()]
    assert endings == [Ending.CRASHED, Ending.CRASHED, Ending.CRASHED, Ending.DONE]


async def test_a_cold_server_is_slower_at_first() -> None:
    bench = Bench(cold_start_s=10.0, cold_factor=3.0)
    cold = bench.call("r1")
    await bench.time.run(2.9)
    assert cold.status is None
    await bench.time.run(0.1)
    assert cold.status == 200
    await bench.time.run(7.0)
    warm = bench.call("r2")
    await bench.time.run(1.0)
    assert warm.status == 200


async def test_a_download_belongs_to_its_token_and_may_be_cut() -> None:
    bench = Bench(slots=4)
    path = "/reelhouse/clip/cage-2?standin-answer-bytes=200001"
    whole = bench.call("r1", path=path + "&standin-token=mine")
    cut = bench.call("r2", path=path + "&standin-cut-after=70000")
    chunked = bench.call("r3", path=path + "&standin-chunked=1&standin-cut-after=0")
    await bench.time.run(1.0)
    assert whole.whole
    assert whole.headers["content-length"] == "200001"
    assert whole.body == download_chunk("mine", 0, 200_001)
    assert whole.body[70_001:80_001] == download_chunk("mine", 70_001, 10_000)
    assert (cut.whole, len(cut.body), cut.link.lost.is_set()) == (False, 70_000, True)
    assert (chunked.whole, chunked.body, "content-length" in chunked.headers) == (False, b"", False)


async def test_health_and_load_may_lag_and_mislead() -> None:
    bench = Bench()
    bench.call("r1")
    bench.call("r2")
    await bench.time.settle()
    assert await bench.own("GET", "/load") == {"running": 1, "queued": 1, "slots": 1}
    await bench.own("PUT", "/_admin/behaviour", b'{"view_lag_s": 3, "load_scale": 10}')
    assert (await bench.own("GET", "/load"))["running"] == 10
    await bench.time.run(2.5)
    assert (await bench.own("GET", "/load"))["running"] == 10
    await bench.time.run(3.0)
    assert (await bench.own("GET", "/load"))["running"] == 0
    await bench.own("PUT", "/_admin/behaviour", b'{"draining": true, "view_lag_s": 0}')
    assert await bench.own("GET", "/health") == {"healthy": False}
    await bench.own("PUT", "/_admin/behaviour", b'{"health": "up"}')
    assert await bench.own("GET", "/health") == {"healthy": True}
    await bench.own("PUT", "/_admin/behaviour", b'{"health": "down", "draining": false}')
    assert await bench.own("GET", "/health") == {"healthy": False}


async def test_its_own_paths_speak_as_the_headers_module_says() -> None:
    bench = Bench()
    grant = b'{"leader": "d1", "term": %d, "ttl_ms": 800, "epochs": {"penwatch/0": 8}}'
    assert await bench.own("POST", "/_owner/grant", grant % 4) == {"clock_ms": 0}
    refusal = await bench.own("POST", "/_owner/grant", grant % 3)
    assert refusal == {"term": 4, "clock_ms": 0}
    renewal = await bench.own("POST", "/_owner/renew", b'{"term": 4, "ttl_ms": 800}')
    assert renewal == {"clock_ms": 0}
    assert await bench.own("GET", "/_owner/grant") == {"clock_ms": 0}
    await bench.time.run(0.8)
    assert "error" in await bench.own("POST", "/_owner/renew", b'{"term": 4, "ttl_ms": 800}')
    assert "error" in await bench.own("POST", "/_owner/grant", b"{}")
    bench.call("r1")
    await bench.time.run(1.0)
    assert await bench.own("GET", "/_executions") == []
    stats = await bench.own("GET", "/_admin/stats")
    assert (stats["executions"], stats["running"]) == (0, 0)


@pytest.mark.parametrize(("renewed", "ending"), [(False, Ending.EXPIRED), (True, Ending.DONE)])
async def test_work_is_stopped_once_its_grant_ran_out(renewed: bool, ending: Ending) -> None:
    bench = Bench()
    bench.backend.grants.install(3, 0.3, {"penwatch/0": 7}, run_s=0.8)
    bench.call("r1")
    await bench.time.run(0.2)
    if renewed:
        bench.backend.grants.renew(3, 0.3, run_s=0.9)
    await bench.time.run(1.0)
    assert bench.ran() == [("r1", ending)]
