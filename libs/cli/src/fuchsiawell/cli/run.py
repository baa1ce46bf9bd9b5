"""Entry point of the program `fuchsiawell`."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import defopt

from fuchsiawell.cli.configure import configure, questionnaire
from fuchsiawell.cli.exit_status import ExitStatus, fail
from fuchsiawell.cli.explain import explain
from fuchsiawell.cli.export import export
from fuchsiawell.cli.serve import serve
from fuchsiawell.cli.status import status
from fuchsiawell.cli.timeline import timeline

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ["main"]

COMMANDS: dict[str, Callable[..., ExitStatus]] = {
    "questionnaire": questionnaire,
    "configure": configure,
    "export": export,
    "serve": serve,
    "status": status,
    "explain": explain,
    "timeline": timeline,
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command that `argv` names and return its exit status."""
    try:
        return int(
            defopt.run(
                COMMANDS,
                argv=list(sys.argv[1:] if argv is None else argv),
                version=False,
                no_negated_flags=True,
                argparse_kwargs={"prog": "fuchsiawell"},
            )
        )
    except KeyboardInterrupt:
        return fail("interrupted")
    except BrokenPipeError:
        # The reader of the output, such as `head`, closed the pipe; this is not an error.
        sys.stdout = None
        return ExitStatus.OK
