"""A request that crashes backends comes again while the daemons are restarted in turn."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from site3 import Backend, now_s, run_case  # noqa: E402

HOST = "gw.example"
POISON = "/book/poison"
DAEMONS, BACKENDS = 6, 8
# "the backend is back after some seconds".
DOWN_S = 3.0
# The caller comes again after this time, at another machine each time.
COMES_AGAIN_S = 2.5
# `roll_term`: one machine at a time, 1.3 s between (the site files' gap_s).
GAP_S, RESTART_DELAY_S = 1.3, 0.3
CONTACT_S = 3.0
ROLL_S = 90.0
MAX_RETRIES = 3


BOOKING = {
    "name": "book",
    "host": HOST,
    "path_prefix": "/book/",
    "kind": "unsafe",
    "timeout": "2000ms",
    "target_latency": "500ms",
    "priority": 1,
    "service": "desk",
    "max_attempts": 2,
}


async def scenario(site, trouble):
    chance = random.Random()
    record = site.record
    await site.start(daemons=DAEMONS)
    site.configure([BOOKING], {"desk": False})
    crashes_s: list[float] = []
    reached: set[str] = set()
    began: set[str] = set()

    def crash_on(backend):
        def crashes_on(path):
            if path != POISON:
                return False
            crashes_s.append(now_s())
            record.write(f"{backend.id} crashes, crash {len(crashes_s)}")
            loop = asyncio.get_running_loop()
            loop.call_later(DOWN_S, lambda: loop.create_task(backend.start()))
            return True

        return crashes_on

    for number in range(BACKENDS):
        backend = site.add(Backend(site, f"desk-{number}", "desk", work_s=0.25))
        backend.crashes_on = crash_on(backend)
        backend.on_arrival = lambda request_id, fields: reached.add(request_id)
        backend.on_run = lambda request_id, fields: began.add(request_id)
        await backend.start()
    for daemon in site.daemons:
        await daemon.start()
    for daemon in site.daemons:
        await daemon.wait_ready()
    # Of each daemon: when it was started, and when it got SIGTERM.
    disturbed_s = {daemon.name: [daemon.started_s] for daemon in site.daemons}
    sent_s: dict[str, tuple[float, str]] = {}
    lost: list[str] = []
    ended = False

    async def send_poison():
        order: list = []
        while not ended:
            order = order or chance.sample(site.daemons, len(site.daemons))
            daemon = order.pop()
            if not await daemon.ready():
                continue
            request_id = f"p{len(sent_s) + 1}"
            sent_s[request_id] = now_s(), daemon.name
            status, _ = await site.request(
                daemon, "POST", HOST, POISON, request_id, 2.0, body=b"poison"
            )
            ran = "reached a backend" if request_id in reached else "reached no backend"
            record.write(f"{request_id} to {daemon.name}: {status}, {ran}")
            await asyncio.sleep(COMES_AGAIN_S)

    async def book(number):
        daemon = chance.choice(site.daemons)
        if not await daemon.ready():
            return
        request_id = f"b{number}"
        status, _ = await site.request(daemon, "POST", HOST, "/book/1", request_id, 2.0, body=b"1")
        if status != 200 and request_id in began:
            lost.append(request_id)
            record.write(f"{request_id} to {daemon.name}: {status}, had begun at a backend")

    async def send_bookings():
        number = 0
        booking: set[asyncio.Task] = set()
        while not ended:
            number += 1
            task = asyncio.create_task(book(number))
            booking.add(task)
            task.add_done_callback(booking.discard)
            await asyncio.sleep(0.05)

    tasks = [asyncio.create_task(send_poison()), asyncio.create_task(send_bookings())]
    await asyncio.sleep(4 * COMES_AGAIN_S)
    end_s = now_s() + ROLL_S
    if not trouble:
        await asyncio.sleep(ROLL_S)
    while now_s() < end_s:
        for daemon in site.daemons:
            if now_s() >= end_s:
                break
            record.write(f"SIGTERM to {daemon.name}")
            disturbed_s[daemon.name].append(now_s())
            daemon.process.send_signal(signal.SIGTERM)
            await daemon.wait_end(8.0)
            await asyncio.sleep(RESTART_DELAY_S)
            await daemon.start()
            disturbed_s[daemon.name].append(daemon.started_s)
            await daemon.wait_ready()
            record.write(f"{daemon.name} is back")
            await asyncio.sleep(GAP_S)
    ended = True
    await asyncio.gather(*tasks)
    await asyncio.sleep(2.5)
    if len(crashes_s) < 3:
        record.write(f"{len(crashes_s)} crashes")
        return ""
    third_s = crashes_s[2]

    def in_touch(at_s, name):
        return not any(0.0 <= at_s - each_s <= CONTACT_S for each_s in disturbed_s[name]) and (
            # A SIGTERM that came before the request could reach a backend.
            not any(0.0 <= each_s - at_s <= 0.5 for each_s in disturbed_s[name])
        )

    late = [
        request_id
        for request_id, (at_s, name) in sent_s.items()
        if request_id in reached and at_s > third_s + CONTACT_S and in_touch(at_s, name)
    ]
    record.write(f"{len(crashes_s)} crashes; third {third_s - record.started_s:.3f}")
    record.write(f"retries by machines in touch that reached backends later: {late}")
    record.write(f"bookings that had begun and were lost: {len(lost)}")
    if len(late) > MAX_RETRIES:
        return (
            f"BUDGET: {len(late)} retries reached backends ({len(crashes_s)} crashes,"
            f" {len(lost)} bookings lost that had begun)"
        )
    return ""


run_case(FOLDER, scenario)
