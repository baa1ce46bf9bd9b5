"""The command `export`: convert a configuration to the record in the platform's store."""

from __future__ import annotations

import sys
from pathlib import Path  # noqa: TC003 - defopt reads the annotations at run time

from result import Err

from fuchsiawell.adapter.export import export_configuration
from fuchsiawell.cli.exit_status import ExitStatus, fail
from fuchsiawell.config import decode_configuration

__all__ = ["export"]


def export(configuration: Path, *, host: str) -> ExitStatus:
    """Print the record that the operator writes into the platform's store.

    :param configuration: file that `fuchsiawell configure` printed
    :param host: name under which clients reach the site
    """
    try:
        text = configuration.read_bytes()
    except OSError as error:
        return fail(f"cannot read configuration file {configuration}: {error.strerror}")
    decoded = decode_configuration(text, str(configuration))
    if isinstance(decoded, Err):
        return fail(decoded.err_value)
    sys.stdout.write(export_configuration(decoded.ok_value, host).decode())
    return ExitStatus.OK
