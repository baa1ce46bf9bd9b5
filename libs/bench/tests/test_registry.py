from __future__ import annotations

import sys
from types import ModuleType
from typing import TYPE_CHECKING

import pytest

import fuchsiawell.bench
from fuchsiawell.bench.__main__ import main
from fuchsiawell.bench.measurement import Measurement
from fuchsiawell.bench.registry import load_suite
from fuchsiawell.core import FuchsiawellError

if TYPE_CHECKING:
    from pathlib import Path


def test_an_absent_suite_is_named() -> None:
    with pytest.raises(FuchsiawellError, match="no package"):
        load_suite("nothing")


def test_a_suite_with_a_broken_import_is_not_taken_for_absent(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    (tmp_path / "broken.py").write_text("import not_installed_anywhere")
    monkeypatch.setattr(fuchsiawell.bench, "__path__", [str(tmp_path)])
    with pytest.raises(ModuleNotFoundError, match="not_installed_anywhere"):
        load_suite("broken")


def test_prints_one_object_a_line(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    module = ModuleType("fuchsiawell.bench.once")
    module.run = lambda: [Measurement("a/b", 1.5, "s", None, 3)]  # type: ignore[attr-defined]
    monkeypatch.setitem(sys.modules, "fuchsiawell.bench.once", module)
    assert main("once") == 0
    assert capsys.readouterr().out == (
        '{"measure":"a/b","value":1.5,"unit":"s","baseline":null,"n":3}\n'
    )
