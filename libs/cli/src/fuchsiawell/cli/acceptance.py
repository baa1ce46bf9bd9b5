"""Putting a configuration in force: read, compare, and write by compare-and-swap."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from fuchsiawell.cli.differences import Difference, differences
from fuchsiawell.cli.hazards import Consent, keep_shard_counts, refusals, warnings
from fuchsiawell.config import configuration_key, decode_configuration, encode_configuration
from fuchsiawell.core import Deadline
from fuchsiawell.platform import (
    ABSENT,
    AnswerLost,
    Conflict,
    LeaseLapsed,
    Record,
    Revision,
    Store,
    Unavailable,
    resolve_put,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from fuchsiawell.config import Configuration
    from fuchsiawell.core import Clock

__all__ = [
    "AcceptError",
    "ChangedMeanwhile",
    "NotWritten",
    "OutOfDate",
    "Plan",
    "Refused",
    "Waiting",
    "WriteUnknown",
    "commit",
    "in_force",
    "prepare",
]

PATIENCE_S = 10.0  # for finding out about a write whose answer was lost


@dataclass(frozen=True, slots=True)
class Waiting:
    """Hold how time passes between tries."""

    clock: Clock
    random: Random
    sleep: Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold a change that is ready to be written from what was read."""

    before: Configuration | None
    read_at: Revision
    after: Configuration  # with the version that it gets
    differences: list[Difference]
    warnings: list[str]


@dataclass(frozen=True, slots=True)
class OutOfDate:
    """Report that the file was made from another version than the one in force."""

    made_from: int
    in_force: int
    differences: list[Difference]  # from the file to what is in force


@dataclass(frozen=True, slots=True)
class Refused:
    """Report changes that would break a promise; nothing was written."""

    reasons: list[str]


@dataclass(frozen=True, slots=True)
class ChangedMeanwhile:
    """Report that another operator's change came first; nothing was written."""

    version: int
    differences: list[Difference]  # what the other one changed


@dataclass(frozen=True, slots=True)
class NotWritten:
    """Report a failure that is proved to have changed nothing."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True, slots=True)
class WriteUnknown:
    """Report a write that may have taken effect, and could not be read back."""

    step: str
    peer: str
    detail: str


AcceptError = OutOfDate | Refused | ChangedMeanwhile | NotWritten | WriteUnknown


async def in_force(
    store: Store, wanted: Configuration
) -> Result[tuple[Configuration | None, Revision], NotWritten]:
    """Read the configuration in force in the cell of `wanted`, with its revision."""
    read = await store.get(configuration_key(wanted.cell))
    if isinstance(read, Err):
        error = read.err_value
        return Err(NotWritten(error.step, error.peer, error.detail))
    record = read.ok_value
    if record is None:
        return Ok((None, ABSENT))
    return _decode(record.value).map(lambda found: (found, record.revision))


async def prepare(
    store: Store, wanted: Configuration, consent: Consent
) -> Result[Plan, OutOfDate | Refused | NotWritten]:
    """Compare `wanted` with what is in force, and refuse what would break a promise."""
    found = await in_force(store, wanted)
    if isinstance(found, Err):
        return found
    before, revision = found.ok_value
    version = 0 if before is None else before.version
    if consent.keep_shards:
        wanted = keep_shard_counts(before, wanted)
    if before is not None and not differences(before, wanted):
        # In force already, as when an earlier run lost the answer to its write.
        return Ok(Plan(before, revision, before, [], []))
    if wanted.version != version:
        return Err(OutOfDate(wanted.version, version, differences(wanted, before)))
    reasons = list(refusals(before, wanted, consent))
    if reasons:
        return Err(Refused(reasons))
    after = replace(wanted, version=version + 1)
    return Ok(
        Plan(before, revision, after, differences(before, after), list(warnings(before, after)))
    )


async def commit(
    store: Store, plan: Plan, waiting: Waiting
) -> Result[int, ChangedMeanwhile | NotWritten | WriteUnknown]:
    """Write the plan and return the version in force, only once the store confirmed it."""
    key = configuration_key(plan.after.cell)
    written = await resolve_put(
        store,
        key,
        encode_configuration(plan.after),
        plan.read_at,
        Deadline.after(waiting.clock, PATIENCE_S),
        waiting.clock,
        waiting.random,
        sleep=waiting.sleep,
    )
    if isinstance(written, Ok):
        return Ok(plan.after.version)
    match written.err_value:
        case Conflict(current):
            return _conflict(plan, current)
        case LeaseLapsed(lease):
            return Err(NotWritten("put", key, f"lease {lease} lapsed"))
        case Unavailable(step, peer, detail):
            return Err(NotWritten(step, peer, detail))
        case AnswerLost() as lost:
            return await _judge_lost(store, plan, lost)


def _conflict(
    plan: Plan, current: Record | None
) -> Result[int, ChangedMeanwhile | NotWritten | WriteUnknown]:
    decoded = Ok(None) if current is None else _decode(current.value)
    if isinstance(decoded, Err):
        return decoded
    return _changed(plan, decoded.ok_value)


async def _judge_lost(
    store: Store, plan: Plan, lost: AnswerLost
) -> Result[int, ChangedMeanwhile | NotWritten | WriteUnknown]:
    """Tell from the version whether another write came instead of ours, or after it."""
    unknown = WriteUnknown(lost.step, lost.peer, lost.detail)
    found = await in_force(store, plan.after)
    if isinstance(found, Err):
        return Err(unknown)
    now, _ = found.ok_value
    if now == plan.after:
        return Ok(plan.after.version)
    # Versions go up by one, so whoever has this one took it in our place.
    if now is not None and now.version == plan.after.version:
        return _changed(plan, now)
    return Err(unknown)


def _changed(plan: Plan, found: Configuration | None) -> Result[int, ChangedMeanwhile]:
    version = 0 if found is None else found.version
    return Err(ChangedMeanwhile(version, differences(plan.before, found)))


def _decode(value: bytes) -> Result[Configuration, NotWritten]:
    return decode_configuration(value, "store").map_err(
        lambda error: NotWritten(error.step, error.peer, "; ".join(error.mistakes))
    )
