"""Test doubles: a store with faults, virtual time, hosts and connections, packet loss."""

from __future__ import annotations

from fuchsiawell.standins.daemon_store import DaemonStore
from fuchsiawell.standins.memory_datagrams import MemoryDatagrams
from fuchsiawell.standins.memory_network import CutMode, MemoryNetwork, host_pair
from fuchsiawell.standins.memory_store import MemoryStore, StoreCopy
from fuchsiawell.standins.packet_loss import FilteredSocket, lose_packets
from fuchsiawell.standins.ports import adjacent_free_ports, free_ports
from fuchsiawell.standins.virtual_hosts import VirtualHosts, run_on_virtual_hosts
from fuchsiawell.standins.virtual_time import VirtualClock, run_in_virtual_time

__all__ = [
    "CutMode",
    "DaemonStore",
    "FilteredSocket",
    "MemoryDatagrams",
    "MemoryNetwork",
    "MemoryStore",
    "StoreCopy",
    "VirtualClock",
    "VirtualHosts",
    "adjacent_free_ports",
    "free_ports",
    "host_pair",
    "lose_packets",
    "run_in_virtual_time",
    "run_on_virtual_hosts",
]
