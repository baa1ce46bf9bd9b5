"""CI must pass over exactly the tests listed in KNOWN-RED.txt, and over no others."""

from __future__ import annotations

from pathlib import Path

import pytest

from known_red import known_red_tests

pytest_plugins = "pytester"

SUITE = """
def test_listed():
    assert {listed_passes}

def test_other():
    assert {other_passes}
"""


def _run(
    pytester: pytest.Pytester, *, listed_passes: bool, other_passes: bool, listed: str
) -> pytest.RunResult:
    tools = Path(__file__).parent.parent
    pytester.makeini(f"[pytest]\npythonpath = {tools}\ntestpaths = .\naddopts = -p known_red")
    pytester.makepyfile(
        test_suite=SUITE.format(listed_passes=listed_passes, other_passes=other_passes)
    )
    (pytester.path / "KNOWN-RED.txt").write_text(f"# comment\n{listed}\n")
    return pytester.runpytest_subprocess()


LISTED = "test: test_suite.py::test_listed seen once; issue 1"


def test_run_passes_over_a_listed_test_that_fails_and_prints_it(pytester: pytest.Pytester) -> None:
    result = _run(pytester, listed_passes=False, other_passes=True, listed=LISTED)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["KNOWN RED test_suite.py::test_listed: *seen once; issue 1"])


def test_run_fails_if_a_listed_test_passes(pytester: pytest.Pytester) -> None:
    result = _run(pytester, listed_passes=True, other_passes=True, listed=LISTED)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_run_fails_if_a_test_that_is_not_listed_fails(pytester: pytest.Pytester) -> None:
    result = _run(pytester, listed_passes=False, other_passes=False, listed=LISTED)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_run_fails_if_a_listed_test_does_not_exist(pytester: pytest.Pytester) -> None:
    listed = "test: test_suite.py::test_removed seen once; issue 1"
    result = _run(pytester, listed_passes=True, other_passes=True, listed=listed)
    assert result.ret == pytest.ExitCode.USAGE_ERROR


def test_only_entries_of_tests_are_read() -> None:
    text = "# heading\nhunt-1 of a site: LOST once\ntest: a.py::b[x-1] why it fails\n"
    assert known_red_tests(text) == {"a.py::b[x-1]": "why it fails"}
