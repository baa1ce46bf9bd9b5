"""The command that puts a configuration in force."""

from __future__ import annotations

import asyncio
from pathlib import Path  # noqa: TC003 - the argument parser reads the annotations
from random import Random
from typing import TYPE_CHECKING

from result import Err, Result

from fuchsiawell.cli.acceptance import (
    AcceptError,
    ChangedMeanwhile,
    NotWritten,
    OutOfDate,
    Refused,
    Waiting,
    WriteUnknown,
    commit,
    prepare,
)
from fuchsiawell.cli.exits import Exit, fail
from fuchsiawell.cli.hazards import Consent
from fuchsiawell.config import address_in, decode_configuration
from fuchsiawell.core import SystemClock
from fuchsiawell.platform import HttpStore

if TYPE_CHECKING:
    from fuchsiawell.cli.acceptance import Plan
    from fuchsiawell.cli.differences import Difference
    from fuchsiawell.config import Configuration
    from fuchsiawell.platform import Store

__all__ = ["accept", "accept_into", "explain"]

STORE_TIMEOUT_S = 5.0


def accept(
    config: Path, *, store: str, remove: list[str] | None = None, keep_shards: bool = False
) -> Exit:
    """Show what a configuration changes, then put it in force.

    The exit status is 0 once it is in force, 1 if nothing was changed, and 3 if the store did not
    say; then run the same command again.

    :param config: file with the complete configuration, as "fuchsiawell configure" prints it
    :param store: URL of the platform's store, as in http://127.0.0.1:2379
    :param remove: services that may be removed, with all their keys
    :param keep_shards: leave the shard counts of services in force as they are
    """
    read = _read(config, store)
    if isinstance(read, Err):
        return fail(read.err_value)
    configuration, address = read.ok_value
    consent = Consent(frozenset(remove or ()), keep_shards)
    return asyncio.run(_accept_at(address, configuration, consent))


async def accept_into(
    store: Store,
    configuration: Configuration,
    consent: Consent,
    waiting: Waiting,
) -> Exit:
    """Show the difference, write it, and print how that ended."""
    prepared = await prepare(store, configuration, consent)
    if isinstance(prepared, Err):
        return _fail(prepared.err_value)
    plan = prepared.ok_value
    if not plan.differences:
        print(f"Nothing to change: version {plan.after.version} is in force and says the same.")
        return Exit.DONE
    _show(plan)
    committed = await commit(store, plan, waiting)
    if isinstance(committed, Err):
        return _fail(committed.err_value)
    print(f"Accepted: version {committed.ok_value} is in force in the store.")
    print(f'Before the next change, put "revises": {committed.ok_value} into the answers.')
    return Exit.DONE


def explain(error: AcceptError) -> str:
    """Return what happened and what to do, for an operator."""
    match error:
        case OutOfDate(made_from, in_force, changes):
            return (
                f"Conflict: the file was made from version {made_from}, but version {in_force} is "
                "in force. Nothing was changed. From the file to what is in force:\n"
                f"{_listed(changes)}\n"
                f'Take over what the others changed, put "revises": {in_force} into the answers, '
                "and configure again."
            )
        case Refused(reasons):
            lines = "\n".join(f"  {reason}" for reason in reasons)
            return f"Refused, nothing was changed:\n{lines}"
        case ChangedMeanwhile(version, changes):
            return (
                f"Conflict: another operator put version {version} in force first. Nothing of "
                f"yours was changed. The other change:\n{_listed(changes)}\n"
                f'Take it over, put "revises": {version} into the answers, and configure again.'
            )
        case NotWritten(step, peer, detail):
            return f"Not accepted, nothing was changed: {step} at {peer}: {detail}"
        case WriteUnknown(step, peer, detail):
            return (
                f"Outcome unknown: {step} at {peer}: {detail}. The configuration may or may not "
                "be in force; run the same command again, which finds out."
            )


def _read(config: Path, store: str) -> Result[tuple[Configuration, str], object]:
    try:
        value = config.read_bytes()
        address = address_in(store)
    except OSError as error:
        return Err(f"read configuration at {config}: {error.strerror}")
    except ValueError as error:
        return Err(f"--store: {error}")
    return decode_configuration(value, str(config)).map(lambda found: (found, address))


async def _accept_at(address: str, configuration: Configuration, consent: Consent) -> Exit:
    store = HttpStore(address, STORE_TIMEOUT_S)
    try:
        waiting = Waiting(SystemClock(), Random(), asyncio.sleep)
        return await accept_into(store, configuration, consent, waiting)
    finally:
        await store.close()


def _show(plan: Plan) -> None:
    source = "nothing" if plan.before is None else f"version {plan.before.version}"
    print(f"Cell {plan.after.cell}, from {source} to version {plan.after.version}:")
    if plan.before is None:
        print(f"  services: {', '.join(sorted(plan.after.services_by_name))}")
    print(_listed(plan.differences))
    for warning in plan.warnings:
        print(f"  note: {warning}")


def _listed(changes: list[Difference]) -> str:
    return "\n".join(f"  {change}" for change in changes) or "  (no rule differs)"


def _fail(error: AcceptError) -> Exit:
    status = Exit.UNKNOWN if isinstance(error, WriteUnknown) else Exit.REFUSED
    return fail(explain(error), status)
