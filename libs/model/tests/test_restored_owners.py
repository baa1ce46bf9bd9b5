from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.model import restored_owners
from fuchsiawell.model.checker import find_violation
from fuchsiawell.model.granting import SINGLE_OWNER
from fuchsiawell.model.restored_owners import RestoredRules, restored_owners_spec

if TYPE_CHECKING:
    import pytest


def test_wait_is_no_longer_than_needed(monkeypatch: pytest.MonkeyPatch) -> None:
    spec = restored_owners_spec(RestoredRules())
    assert find_violation(spec, SINGLE_OWNER) is None
    shorter = restored_owners.UNKNOWN_OWNERS_WAIT_TICKS - 1
    monkeypatch.setattr(restored_owners, "UNKNOWN_OWNERS_WAIT_TICKS", shorter)
    assert find_violation(spec, SINGLE_OWNER) is not None
