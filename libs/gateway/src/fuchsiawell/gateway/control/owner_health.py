"""Track which owners of keys respond, and which need a new fencing token."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from fuchsiawell.shards import Owner

__all__ = ["OwnerHealth"]

# Interval between attempts to reach a server that does not respond.
PROBE_INTERVAL_S = 0.4
# After this many unanswered grants a reachable server gets no more until its grants have expired.
MAX_UNANSWERED_GRANTS = 2
# A server that lost its keys may get keys again after this time.
REJOIN_DELAY_S = 2.0


class OwnerHealth:
    """Track servers by their responses to grants.

    After a failed call another incarnation of the server may run at its address, so its grants must
    not be renewed under the old fencing token: it gets a new one once it can be reached again.
    """

    def __init__(self) -> None:
        self._unresponsive_since_s: dict[Owner, float] = {}
        self._next_probe_s: dict[Owner, float] = {}
        self._needs_new_fence: set[Owner] = set()
        self._reachable: set[Owner] = set()
        self._unanswered_grants: dict[Owner, int] = {}

    def is_unresponsive(self, owner: Owner) -> bool:
        """Return whether the server has accepted no grant since a failed call."""
        return owner in self._unresponsive_since_s

    @property
    def all_unresponsive(self) -> Collection[Owner]:
        """All servers that do not respond."""
        return self._unresponsive_since_s.keys()

    def may_renew(self, owner: Owner) -> bool:
        """Return whether the server's grants may be renewed under their fencing tokens."""
        return owner not in self._needs_new_fence

    def record_failure(self, owner: Owner, sent: bool, now_s: float) -> bool:
        """Record a failed call, `sent` if it may take effect; False if already unresponsive."""
        self._next_probe_s[owner] = now_s + PROBE_INTERVAL_S
        self._needs_new_fence.add(owner)
        self._reachable.discard(owner)
        if sent:
            self._unanswered_grants[owner] = self._unanswered_grants.get(owner, 0) + 1
        if owner in self._unresponsive_since_s:
            return False
        self._unresponsive_since_s[owner] = now_s
        return True

    def record_accepted(self, owner: Owner) -> bool:
        """Record an accepted grant; return whether the server was unresponsive."""
        self._unanswered_grants.pop(owner, None)
        return self._unresponsive_since_s.pop(owner, None) is not None

    def record_refused(self, owner: Owner) -> None:
        """Record a refused grant: the server responds, but needs a new fencing token."""
        self._needs_new_fence.add(owner)
        self._reachable.add(owner)

    def record_reachable(self, owner: Owner) -> None:
        """Record that the server accepts connections."""
        self._reachable.add(owner)

    def probes_due(self, owners: Collection[Owner], now_s: float) -> list[Owner]:
        """Return the owners to probe now, and schedule their next probe."""
        due = [
            owner
            for owner in self._needs_new_fence - self._reachable
            if owner in owners and now_s >= self._next_probe_s.get(owner, 0.0)
        ]
        for owner in due:
            self._next_probe_s[owner] = now_s + PROBE_INTERVAL_S
        return due

    def awaiting_fence(self) -> list[Owner]:
        """Return reachable servers that should get a new fencing token and another grant."""
        ready = self._needs_new_fence & self._reachable
        return sorted(
            (o for o in ready if self._unanswered_grants.get(o, 0) < MAX_UNANSWERED_GRANTS),
            key=lambda owner: owner.incarnation_id,
        )

    def record_new_fence(self, owners: Collection[Owner]) -> None:
        """Record that new fencing tokens for these servers are stored."""
        self._needs_new_fence.difference_update(owners)

    def forget_former_owners(self, owners: Collection[Owner], now_s: float) -> list[Owner]:
        """Forget servers without keys REJOIN_DELAY_S after they failed; return them."""
        forgotten = [
            owner
            for owner, since_s in self._unresponsive_since_s.items()
            if owner not in owners and now_s - since_s > REJOIN_DELAY_S
        ]
        for owner in forgotten:
            del self._unresponsive_since_s[owner]
            self._needs_new_fence.discard(owner)
            self._unanswered_grants.pop(owner, None)
            self._next_probe_s.pop(owner, None)
        return forgotten
