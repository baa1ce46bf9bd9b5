"""Run a daemon: `fuchsiawell serve SETTINGS`."""

from __future__ import annotations

import asyncio
from pathlib import Path  # noqa: TC003 - defopt reads the type at run time

from fuchsiawell.adapter import SettingsError
from fuchsiawell.adapter.run import run_daemon
from fuchsiawell.cli.exit_status import Exit, fail

__all__ = ["serve"]


def serve(settings: Path) -> Exit:
    """Run a daemon until it is told to stop by SIGTERM, then finish its requests.

    :param settings: JSON file that the platform lays down for each process
    """
    try:
        asyncio.run(run_daemon(settings))
    except SettingsError as error:
        return fail(str(error))
    except OSError as error:
        return fail(f"start daemon: {error}")
    return Exit.DONE
