"""The leader: the only daemon that talks to its backend servers."""

from __future__ import annotations

from fuchsiawell.daemon.leader.authority import AssignedAuthority, Authority, Permit
from fuchsiawell.daemon.leader.in_flight import Flight, InFlight
from fuchsiawell.daemon.leader.leader import Leader

__all__ = ["AssignedAuthority", "Authority", "Flight", "InFlight", "Leader", "Permit"]
