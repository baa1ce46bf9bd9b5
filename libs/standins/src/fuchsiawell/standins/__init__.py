"""Test doubles: an in-memory store with faults, virtual time, connections, packet loss."""

from __future__ import annotations

from fuchsiawell.standins.memory_datagrams import MemoryDatagrams
from fuchsiawell.standins.memory_store import MemoryStore
from fuchsiawell.standins.packet_loss import FilteredSocket, lose_packets
from fuchsiawell.standins.ports import free_ports
from fuchsiawell.standins.virtual_time import (
    MemoryNetwork,
    VirtualClock,
    host_pair,
    run_in_virtual_time,
)

__all__ = [
    "FilteredSocket",
    "MemoryDatagrams",
    "MemoryNetwork",
    "MemoryStore",
    "VirtualClock",
    "free_ports",
    "host_pair",
    "lose_packets",
    "run_in_virtual_time",
]
