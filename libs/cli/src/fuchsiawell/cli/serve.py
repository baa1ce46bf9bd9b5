"""The command `serve`: run a daemon."""

from __future__ import annotations

import asyncio
from pathlib import Path  # noqa: TC003 - defopt reads the annotations at run time

from fuchsiawell.adapter import SettingsError
from fuchsiawell.adapter.run import run_daemon
from fuchsiawell.cli.exit_status import ExitStatus, fail

__all__ = ["serve"]


def serve(settings: Path) -> ExitStatus:
    """Run a daemon until SIGTERM, then finish the requests in flight.

    :param settings: JSON settings file that the platform writes for each process
    """
    try:
        asyncio.run(run_daemon(settings))
    except SettingsError as error:
        return fail(str(error))
    except OSError as error:
        return fail(f"cannot start daemon: {error}")
    return ExitStatus.OK
