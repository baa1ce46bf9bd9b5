"""Which identities may have expired, found in constant time for each."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["ExpiryWheel"]


class ExpiryWheel:
    """Hold identities by the second in which they expire; one may be held more than once."""

    def __init__(self, now_s: float) -> None:
        self._identities_by_s: dict[int, list[bytes]] = {}
        self._swept_s = int(now_s)

    def add(self, identity: bytes, expires_s: float) -> None:
        """Have `identity` told once `expires_s` has passed."""
        second = max(ceil(expires_s), self._swept_s + 1)
        self._identities_by_s.setdefault(second, []).append(identity)

    def sweep(self, now_s: float) -> Iterator[bytes]:
        """Yield the identities whose second has passed; each must be looked at again."""
        while self._swept_s < int(now_s):
            self._swept_s += 1
            yield from self._identities_by_s.pop(self._swept_s, ())

    def next_s(self) -> float:
        """Return the first second in which anything expires, at least the present one."""
        return float(min(self._identities_by_s, default=self._swept_s))
