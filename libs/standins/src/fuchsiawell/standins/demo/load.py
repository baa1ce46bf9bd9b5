"""The callers of the demo: barge hands who read, drop feed and send clips."""

from __future__ import annotations

import asyncio
import json
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass
from hashlib import sha256
from typing import TYPE_CHECKING

from fuchsiawell.standins.caller import (
    Broken,
    Caller,
    CallerRequest,
    CallResult,
    NotRun,
    Unknown,
    Unsent,
    Whole,
)
from fuchsiawell.standins.demo.attempts import Attempt, Ending

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from random import Random

    from fuchsiawell.standins.demo.balancer import Balancer

__all__ = ["DropHand", "Hand", "Load", "PlanHand", "ReadHand", "UploadHand"]

PENS = 400
PAUSE_S = 0.1  # mean pause of a caller between two requests
RESENDS = 3  # of a never-repeat request, with the same id
RESEND_PAUSE_S = 0.5
UNSENT_RETRIES = 10  # at other daemons, as the balancer does
UPLOAD_CHUNK_BYTES = 65_536
UPLOAD_CHUNKS = 14
UPLOAD_CHUNK_PAUSE_S = 0.05  # an upload takes about 0.7 s, as from a tablet
OK_STATUSES = range(200, 300)


@dataclass(frozen=True, slots=True)
class _Asked:
    """Describe what one attempt asks, and what its answer must show."""

    service: str
    kind: str
    request: CallerRequest
    timeout_s: float
    id: str | None = None
    token: str | None = None  # None: equal requests may share one answer
    digest: str | None = None  # of an upload


class Hand(ABC):
    """Be one caller that sends request after request until told to stop."""

    def __init__(self, number: int, balancer: Balancer, random: Random) -> None:
        self._number = number
        self._balancer = balancer
        self._random = random
        self._caller: Caller | None = None
        self._count = 0
        self.attempts: list[Attempt] = []
        self.stopping = False

    async def run(self) -> None:
        """Send requests until `stopping`, then end the one under way."""
        while not self.stopping:
            self._count += 1
            await self._once()
            await asyncio.sleep(self._random.expovariate(1 / PAUSE_S))
        if self._caller is not None:
            self._caller.close()

    @abstractmethod
    async def _once(self) -> None:
        """Send one request, with its resends."""

    async def _try(self, asked: _Asked) -> Ending:
        started_at_s = time.monotonic()
        return self._record(asked, started_at_s, await self._call(asked))

    def _record(self, asked: _Asked, started_at_s: float, result: CallResult) -> Ending:
        ending, detail = _ending(asked, result)
        self.attempts.append(
            Attempt(
                asked.service,
                asked.kind,
                asked.id,
                asked.digest is not None,
                started_at_s,
                time.monotonic(),
                ending,
                detail,
            )
        )
        return ending

    async def _call(self, asked: _Asked) -> CallResult:
        result: CallResult = Unsent("no daemon")
        for _ in range(UNSENT_RETRIES):
            caller = self._caller_for(asked.timeout_s)
            result = await caller.call(asked.request)
            if not isinstance(result, Unsent):
                return result
            self._balancer.report_refused(caller.address)
            self._caller = None
            await asyncio.sleep(self._random.uniform(0.0, 0.05))
        return result

    def _caller_for(self, timeout_s: float) -> Caller:
        """Return a caller; now and then at another daemon, as connections come and go."""
        if self._caller is None or self._random.random() < 0.1:
            if self._caller is not None:
                self._caller.close()
            self._caller = Caller(self._balancer.pick(), timeout_s)
        return self._caller

    def _key(self) -> str:
        """Return a pen; a few are asked for much more often."""
        return f"pen-{min(int(self._random.paretovariate(0.6)), PENS)}"


class ReadHand(Hand):
    """Read the state of pens, silos, drops and tallies; these may be repeated."""

    _kinds = (
        ("penwatch", "pen-status"),
        ("penwatch", "silo-level"),
        ("dropline", "drop-status"),
        ("tallyboard", "tally"),
    )

    async def _once(self) -> None:
        service, kind = self._random.choice(self._kinds)
        path = f"/{service}/{kind}/{self._key()}"
        await self._try(_Asked(service, kind, CallerRequest("GET", path), timeout_s=4.0))


class _OnceHand(Hand):
    """Send work that must not repeat; the same id again while its outcome is open."""

    _kind: str

    async def _once(self) -> None:
        path = f"/dropline/{self._kind}/{self._key()}"
        token = f"{self._kind}-{self._number}-{self._count}"
        id = await self._id(path, token)
        if id is None:
            return
        headers = {"idempotency-key": id, "standin-token": token}
        request = CallerRequest("POST", path, headers, body=token.encode())
        asked = _Asked("dropline", self._kind, request, timeout_s=8.0, id=id, token=token)
        for _ in range(RESENDS + 1):
            if await self._try(asked) is Ending.ANSWERED or self.stopping:
                return
            await asyncio.sleep(RESEND_PAUSE_S)

    @abstractmethod
    async def _id(self, path: str, token: str) -> str | None:
        """Return the id to send with; none if there was none to be had."""


class PlanHand(_OnceHand):
    """Plan drops under ids of its own, which the store has to remember."""

    _kind = "drop-plan"

    async def _id(self, path: str, token: str) -> str | None:
        return token


class DropHand(_OnceHand):
    """Drop feed under ids that the router issues."""

    _kind = "feed-drop"

    async def _id(self, path: str, token: str) -> str | None:
        request = CallerRequest("POST", path, {"standin-token": token}, body=token.encode())
        asked = _Asked("dropline", self._kind, request, timeout_s=8.0, token=token)
        for _ in range(RESENDS + 1):
            started_at_s = time.monotonic()
            result = await self._call(asked)
            if isinstance(result, NotRun) and result.issued_id is not None:
                return result.issued_id
            if self._record(asked, started_at_s, result) is Ending.ANSWERED or self.stopping:
                break
            await asyncio.sleep(RESEND_PAUSE_S)
        return None


class UploadHand(Hand):
    """Send clips slowly, and check that each arrived as it was sent."""

    async def _once(self) -> None:
        token = f"clip-{self._number}-{self._count}"
        chunks = [self._random.randbytes(UPLOAD_CHUNK_BYTES) for _ in range(UPLOAD_CHUNKS)]

        async def stream() -> AsyncIterator[bytes]:
            for chunk in chunks:
                yield chunk
                await asyncio.sleep(UPLOAD_CHUNK_PAUSE_S)

        headers = {
            "content-length": str(UPLOAD_CHUNK_BYTES * UPLOAD_CHUNKS),
            "standin-token": token,
        }
        path = f"/reelhouse/clip-upload/{self._key()}"
        request = CallerRequest("POST", path, headers, stream=stream)
        digest = sha256(b"".join(chunks)).hexdigest()
        await self._try(
            _Asked("reelhouse", "clip-upload", request, 20.0, token=token, digest=digest)
        )


class Load:
    """Run all callers of the demo."""

    def __init__(self, hands: list[Hand]) -> None:
        self._hands = hands
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to send."""
        self._tasks = [asyncio.create_task(hand.run()) for hand in self._hands]

    async def stop(self) -> None:
        """Let every request under way end, and send no more."""
        for hand in self._hands:
            hand.stopping = True
        await asyncio.gather(*self._tasks)

    @property
    def attempts(self) -> list[Attempt]:
        """Return what all callers tried so far."""
        return [attempt for hand in self._hands for attempt in hand.attempts]


def _ending(asked: _Asked, result: CallResult) -> tuple[Ending, str]:
    match result:
        case Whole(status, _, body) if status in OK_STATUSES:
            return _check(asked, body)
        case Whole(status):
            return Ending.ERROR, f"status {status}"
        case NotRun(_, reason, step):
            return Ending.NOT_RUN, f"{reason} at {step}"
        case Unknown(step, detail):
            return Ending.UNKNOWN, f"{detail} at {step}"
        case Unsent(detail):
            return Ending.UNSENT, detail
        case Broken(detail):
            return Ending.BROKEN, detail


def _check(asked: _Asked, body: bytes) -> tuple[Ending, str]:
    """Compare an answer with the request that it should belong to."""
    try:
        answer = json.loads(body)
        path, token, digest = answer["path"], answer["token"], answer["digest"]
    except (ValueError, KeyError, TypeError):
        return Ending.WRONG, "not the answer of a backend server"
    if path != asked.request.path or (asked.token is not None and token != asked.token):
        return Ending.WRONG, f"answer of {path} {token}"
    if asked.digest is not None and digest != asked.digest:
        return Ending.WRONG, "another body arrived"
    return Ending.ANSWERED, ""
