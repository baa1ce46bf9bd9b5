"""Which holders of keys answer, and which need a new fence before they get another grant."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from fuchsiawell.shards import Owner

__all__ = ["OwnerHealth"]

# Time between two tries to reach a server that does not answer, in seconds.
RETRY_S = 0.4
# Unanswered grants after which a reachable server is left alone until its hold has run out.
UNANSWERED_LIMIT = 2
# Time after which a server that lost its keys may get some again, in seconds.
SECOND_CHANCE_S = 2.0


class OwnerHealth:
    """Judge servers by their answers to grants.

    After a broken call the server may have another life behind its address, so that renewing under
    the old fence is ruled out: it gets a new fence once it can be reached again.
    """

    def __init__(self) -> None:
        self._down_at: dict[Owner, float] = {}
        self._retry_at: dict[Owner, float] = {}
        self._needs_fence: set[Owner] = set()
        self._reachable: set[Owner] = set()
        self._unanswered: dict[Owner, int] = {}

    def down(self, owner: Owner) -> bool:
        """Whether the server has not answered since its last failure."""
        return owner in self._down_at

    @property
    def all_down(self) -> Collection[Owner]:
        """All servers that do not answer."""
        return self._down_at.keys()

    def may_renew(self, owner: Owner) -> bool:
        """Whether the server's grants may be renewed under their fences."""
        return owner not in self._needs_fence

    def failed(self, owner: Owner, sent: bool, now_s: float) -> bool:
        """Take a failed call; `sent` when it may take effect. Returns whether this is news."""
        self._retry_at[owner] = now_s + RETRY_S
        self._needs_fence.add(owner)
        self._reachable.discard(owner)
        if sent:
            self._unanswered[owner] = self._unanswered.get(owner, 0) + 1
        if owner in self._down_at:
            return False
        self._down_at[owner] = now_s
        return True

    def answered(self, owner: Owner) -> bool:
        """Take an accepted grant; returns whether the server was down."""
        self._unanswered.pop(owner, None)
        return self._down_at.pop(owner, None) is not None

    def refused(self, owner: Owner) -> None:
        """Take a grant refused for its fence."""
        self._needs_fence.add(owner)
        self._reachable.add(owner)

    def reached(self, owner: Owner) -> None:
        """Note that the server accepts connections."""
        self._reachable.add(owner)

    def probes_due(self, holders: Collection[Owner], now_s: float) -> list[Owner]:
        """Return the holders to be probed now."""
        due = [
            owner
            for owner in self._needs_fence - self._reachable
            if owner in holders and now_s >= self._retry_at.get(owner, 0.0)
        ]
        for owner in due:
            self._retry_at[owner] = now_s + RETRY_S
        return due

    def need_fence(self) -> list[Owner]:
        """Return the servers that can be reached and are worth another grant."""
        ready = self._needs_fence & self._reachable
        return sorted(
            (o for o in ready if self._unanswered.get(o, 0) < UNANSWERED_LIMIT),
            key=lambda owner: owner.incarnation_id,
        )

    def fenced(self, owners: Collection[Owner]) -> None:
        """Note that new fences for these servers are stored."""
        self._needs_fence.difference_update(owners)

    def forget_empty(self, holders: Collection[Owner], now_s: float) -> list[Owner]:
        """Forget servers that lost all keys some time ago; returns them."""
        gone = [
            owner
            for owner, down_at in self._down_at.items()
            if owner not in holders and now_s - down_at > SECOND_CHANCE_S
        ]
        for owner in gone:
            del self._down_at[owner]
            self._needs_fence.discard(owner)
            self._unanswered.pop(owner, None)
            self._retry_at.pop(owner, None)
        return gone
