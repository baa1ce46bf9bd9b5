"""Pytest plugin: expect exactly the tests listed in KNOWN-RED.txt to fail.

An entry that starts with `test: NODE-ID` names a test of this suite. The run prints each such test,
passes although it fails, and fails when it passes or does not exist. Other entries describe
failures that only other programs can show; they do not change the verdict.
"""

from __future__ import annotations

from pathlib import Path

import pytest

__all__ = ["known_red_tests"]

FILE_NAME = "KNOWN-RED.txt"
TEST_ENTRY_PREFIX = "test: "


def known_red_tests(text: str) -> dict[str, str]:
    """Return the reasons of the listed failures by the id of the test."""
    reasons = {}
    for line in text.splitlines():
        if line.startswith(TEST_ENTRY_PREFIX):
            node_id, _, reason = line.removeprefix(TEST_ENTRY_PREFIX).partition(" ")
            reasons[node_id] = reason.strip()
    return reasons


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests; a listed test that passes fails the run."""
    path = Path(config.rootpath) / FILE_NAME
    reasons = known_red_tests(path.read_text()) if path.exists() else {}
    for item in items:
        reason = reasons.pop(item.nodeid, None)
        if reason is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{FILE_NAME}: {reason}", strict=True))
    if reasons and not config.args_source == pytest.Config.ArgsSource.ARGS:
        raise pytest.UsageError(f"{FILE_NAME} lists tests that do not exist: {sorted(reasons)}")


def pytest_report_teststatus(report: pytest.TestReport) -> tuple[str, str, str] | None:
    """Name the listed tests that failed as expected."""
    if report.when == "call" and report.skipped and FILE_NAME in getattr(report, "wasxfail", ""):
        return "known red", "K", f"KNOWN RED ({report.wasxfail})"
    return None


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests that failed as expected."""
    for report in terminalreporter.stats.get("known red", []):
        terminalreporter.write_line(f"KNOWN RED {report.nodeid}: {report.wasxfail}")
