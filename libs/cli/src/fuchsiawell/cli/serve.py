"""Run a daemon: `fuchsiawell serve SETTINGS`."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003 - defopt reads the type at run time

from result import Err

from fuchsiawell.cli.exits import Exit, fail
from fuchsiawell.config import load_settings
from fuchsiawell.daemon import serve as run_daemon

__all__ = ["serve"]


def serve(settings: Path) -> Exit:
    """Run a daemon until it is told to stop by SIGTERM or SIGINT, then finish its requests.

    :param settings: JSON file with the daemon's name, addresses, zone, and the platform's URLs
    """
    loaded = load_settings(settings)
    if isinstance(loaded, Err):
        return fail(str(loaded.err_value))
    status = run_daemon(loaded.ok_value)
    return Exit.DONE if status == 0 else fail("the daemon could not start; see its log")
