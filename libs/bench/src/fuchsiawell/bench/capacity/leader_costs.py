"""What a leader's queue, load meter, ledger and journal cost."""

from __future__ import annotations

from functools import partial
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from fuchsiawell.bench.capacity.slopes import cpu_us, memory_bytes, report
from fuchsiawell.bench.measurement import Measurement
from fuchsiawell.core import (
    DaemonId,
    ManualClock,
    RequestId,
    ServerId,
    ServiceName,
    ShardId,
)
from fuchsiawell.load import (
    Admission,
    Entry,
    HeavyHitters,
    LoadMeter,
    QueueSettings,
    decode_load_report,
    encode_load_report,
)
from fuchsiawell.once.entries import encode_entry, encode_journal
from fuchsiawell.once.ledger import Ledger
from fuchsiawell.once.minted import Mint
from fuchsiawell.once.places import PLACE_BYTES
from fuchsiawell.once.records import FoundIntent, Scope, Stopped, StoppedBy
from fuchsiawell.once.requests import CONTENT_BYTES, IDENTITY_BYTES, OnceRequest

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["measure_admission", "measure_journal", "measure_ledger", "measure_load"]

SERVICE = ServiceName("status-desk")
SERVER = ServerId("status-desk-1")
QUEUE_LENGTHS = (8, 32, 128, 250)
KEYS_HELD = (32, 128, 512)
SHARDS_REPORTED = (32, 128, 256)
RECORDS = (1_000, 4_000, 16_000)
INTENTS = (100, 1_000, 10_000)
FAR_S = 1e9  # a deadline that never matters here


def measure_admission() -> Iterator[Measurement]:
    """Yield the time of one request through the queue, by the requests that wait."""
    yield Measurement("capacity/admission-idle-cpu", _cpu_of_request(0), "us", None, 1)
    points = [(float(length), _cpu_of_request(length)) for length in QUEUE_LENGTHS]
    yield from report("admission-cpu", "us", "waiting request", points)
    memory = [(float(n), float(memory_bytes(partial(_queue, n)))) for n in QUEUE_LENGTHS]
    yield from report("admission-memory", "B", "waiting request", memory)


def measure_load() -> Iterator[Measurement]:
    """Yield the sketch's time and memory by keys held, and the report's by shards."""
    adds = [(float(held), _cpu_of_add(held)) for held in KEYS_HELD]
    yield from report("sketch-add-cpu", "us", "key held", adds)
    memory = [(float(n), float(memory_bytes(partial(_sketch, n)))) for n in KEYS_HELD]
    yield from report("sketch-memory", "B", "key held", memory)
    records = [(float(shards), _cpu_of_record(shards)) for shards in SHARDS_REPORTED]
    yield from report("load-record-cpu", "us", "shard", records)
    meters = {shards: _meter(shards) for shards in SHARDS_REPORTED}
    queues = [(SERVER, 4, 0)]
    reports = {n: meter.report(DaemonId("d1"), queues, 1.0) for n, meter in meters.items()}
    values = {n: encode_load_report(found) for n, found in reports.items()}
    sizes = [(float(n), float(len(value))) for n, value in values.items()]
    yield from report("load-report-bytes", "B", "shard", sizes)
    encodes = [(n, cpu_us(partial(encode_load_report, r))) for n, r in reports.items()]
    yield from report("load-report-encode-cpu", "us", "shard", encodes)
    decodes = [(n, cpu_us(partial(decode_load_report, v, "bench"))) for n, v in values.items()]
    yield from report("load-report-decode-cpu", "us", "shard", decodes)


def measure_ledger() -> Iterator[Measurement]:
    """Yield the memory of the ids that a leader remembers, and the time to take one."""
    memory = [(float(n), float(memory_bytes(partial(_ledger, n)))) for n in RECORDS]
    yield from report("ledger-memory", "B", "record", memory)
    times = [(float(n), _cpu_of_begin(n)) for n in RECORDS]
    yield from report("ledger-begin-cpu", "us", "record held", times)


def measure_journal() -> Iterator[Measurement]:
    """Yield the size and time of one journal write, by the intents in force."""
    entries = {n: [encode_entry(_intent(number)) for number in range(n)] for n in INTENTS}
    values = {n: encode_journal(b"n" * 8, 1, {}, found) for n, found in entries.items()}
    sizes = [(float(n), float(len(value))) for n, value in values.items()]
    yield from report("journal-bytes", "B", "intent", sizes)
    times = [(n, cpu_us(partial(encode_journal, b"n" * 8, 1, {}, e))) for n, e in entries.items()]
    yield from report("journal-encode-cpu", "us", "intent", times)


def _queue(waiting: int) -> Admission:
    queue = Admission(QueueSettings(slots=4, max_queued=256))
    for number in range(4 + waiting):
        queue.offer(_entry(number), 0.0)
    return queue


def _entry(number: int) -> Entry:
    return Entry(RequestId("r"), "read", f"caller-{number}", FAR_S + number % 97)


def _cpu_of_request(waiting: int) -> float:
    queue = Admission(QueueSettings(slots=4, max_queued=256))
    running = [_entry(number) for number in range(4)]
    for entry in running if waiting else running[:2]:
        queue.offer(entry, 0.0)
    for number in range(waiting):
        queue.offer(_entry(number), 0.0)
    numbers = count()

    def one_request() -> None:
        """Offer a request, and finish one: the offered, or a running one that it follows."""
        entry = _entry(next(numbers))
        queue.offer(entry, 0.0)
        ended = running.pop(0) if waiting else entry
        running.extend(queue.finish(ended, 0.0).start)

    return cpu_us(one_request)


def _sketch(held: int) -> HeavyHitters[str]:
    sketch: HeavyHitters[str] = HeavyHitters(held, 10.0, 0.0)
    for number in range(held):
        sketch.add(f"order-{number:08}", 1.0, 0.0)
    return sketch


def _cpu_of_add(held: int) -> float:
    sketch, random = _sketch(held), Random(1)
    keys = [f"order-{int(random.paretovariate(0.5)) % 100_000:08}" for _ in range(10_000)]
    numbers = count()
    return cpu_us(lambda: sketch.add(keys[next(numbers) % len(keys)], 0.01, 1.0))


def _meter(shards: int) -> LoadMeter:
    meter = LoadMeter(0.0)
    for number in range(4 * shards):
        meter.record(SERVER, ShardId(SERVICE, number % shards), f"order-{number:08}", 0.01, 0.0)
    return meter


def _cpu_of_record(shards: int) -> float:
    meter, numbers = _meter(shards), count()
    ids = [ShardId(SERVICE, index) for index in range(shards)]

    def one_record() -> None:
        number = next(numbers)
        meter.record(SERVER, ids[number % shards], f"order-{number % 5_000}", 0.01, 1.0)

    return cpu_us(one_record)


def _ledger(records: int) -> Ledger:
    ledger = Ledger(ManualClock(), Mint(b"n" * 8, b"s" * 32))
    ledger.take_over([Scope(ShardId(SERVICE, 1))], Stopped(StoppedBy.NEVER_LED, 0.0))
    for number in range(records):
        ledger.begin(_request(number))
    return ledger


def _cpu_of_begin(records: int) -> float:
    ledger, numbers = _ledger(records), count(records)
    return cpu_us(lambda: ledger.begin(_request(next(numbers))))


def _request(number: int) -> OnceRequest:
    content = number.to_bytes(CONTENT_BYTES, "big")
    shard = ShardId(SERVICE, 1)
    return OnceRequest(SERVICE, f"order-{number:08}", shard, f"deposit-{number}", content, 60.0)


def _intent(number: int) -> FoundIntent:
    return FoundIntent(
        number.to_bytes(IDENTITY_BYTES, "big"),
        number.to_bytes(CONTENT_BYTES, "big"),
        bytes(PLACE_BYTES),
        600.0,
    )
