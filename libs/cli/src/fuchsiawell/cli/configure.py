"""The commands `questionnaire` and `configure`."""

from __future__ import annotations

import sys
from pathlib import Path  # noqa: TC003 - defopt reads the annotations at run time

from result import Err

from fuchsiawell.cli.exit_status import ExitStatus, fail
from fuchsiawell.config import encode_configuration
from fuchsiawell.config.answers import read_answers
from fuchsiawell.config.generate import generate
from fuchsiawell.config.questionnaire import empty_questionnaire

__all__ = ["configure", "questionnaire"]


def questionnaire() -> ExitStatus:
    """Print an empty questionnaire, each question explained."""
    sys.stdout.write(empty_questionnaire())
    return ExitStatus.OK


def configure(answers: Path) -> ExitStatus:
    """Print the complete configuration that the answers describe.

    :param answers: file with the filled-in questionnaire
    """
    try:
        text = answers.read_bytes()
    except OSError as error:
        return fail(f"cannot read answers file {answers}: {error.strerror}")
    generated = read_answers(text, str(answers)).and_then(
        lambda parsed: generate(parsed, str(answers))
    )
    if isinstance(generated, Err):
        return fail(generated.err_value)
    sys.stdout.write(encode_configuration(generated.ok_value).decode())
    return ExitStatus.OK
