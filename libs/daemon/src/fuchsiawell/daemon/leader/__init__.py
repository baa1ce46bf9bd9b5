"""The leader: the only daemon that talks to its backend servers."""

from __future__ import annotations

from fuchsiawell.daemon.leader.authority import AssignedAuthority, Authority
from fuchsiawell.daemon.leader.crashes import LOSS_REPORT, Crashes
from fuchsiawell.daemon.leader.once_hand_over import HAND_OVER_KINDS
from fuchsiawell.daemon.leader.once_service import OnceService
from fuchsiawell.daemon.leader.service import LeaderService

__all__ = [
    "HAND_OVER_KINDS",
    "LOSS_REPORT",
    "AssignedAuthority",
    "Authority",
    "Crashes",
    "LeaderService",
    "OnceService",
]
