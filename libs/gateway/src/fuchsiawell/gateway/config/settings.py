"""Settings that a daemon gets at start; the platform's adapter reads them."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from fuchsiawell.balance import SecondAttemptRules

if TYPE_CHECKING:
    from fuchsiawell.balance import RetryRules

__all__ = ["DEFAULT_EVACUATION_BOUND", "Address", "Settings", "relay_address"]

# Part of the time within which changes must be in force for which a daemon may rely on knowledge
# that the store has not confirmed. The rest is for a call to the store, and for requests that a
# draining owner of keys still gets.
MAX_STORE_AGE_FRACTION = 0.6
# Part of the bound of an evacuation for which owners of keys in the zone still get requests
# from when this daemon learns of it, which may be late by 0.6 of the bound (max_store_age).
EVACUATING_OWNER_FRACTION = 0.3
# From this time after the store has acknowledged an evacuation, the zone gets no requests.
DEFAULT_EVACUATION_BOUND = timedelta(seconds=5)


@dataclass(frozen=True)
class Address:
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def relay_address(host: str, peers_port: int) -> Address:
    """Return where a daemon takes requests of daemons that reach no server."""
    return Address(host, peers_port + 1)


@dataclass(frozen=True)
class Settings:
    daemon: str
    zone: str
    host: str
    clients: Address
    readiness: Address
    # Address for messages from other daemons.
    peers: Address
    metrics: Address
    # How long a backend server keeps serving after it started to drain.
    drain: timedelta
    # Time from SIGTERM until the process is killed.
    stop_grace: timedelta
    retries: RetryRules
    # Within this time after the store has acknowledged a configuration, it must be in force.
    configuration_bound: timedelta = timedelta(seconds=2)
    # From this time after the store has acknowledged the evacuation of a zone, its servers must get
    # no requests.
    evacuation_bound: timedelta = DEFAULT_EVACUATION_BOUND
    # Limits of the host: processor cores and network link.
    cores: float = 1.0
    link_mbit_s: float = 1000.0
    # Memory above which the process is killed, None if no limit is known.
    memory_mb: float | None = None
    second_attempts: SecondAttemptRules = field(default_factory=SecondAttemptRules)
    # Whether daemons tell each other how slow servers are, at up to 10 KB/s for a hub.
    share_server_paces: bool = False

    @property
    def relay(self) -> Address:
        """Return the address for requests of daemons that reach no server."""
        return relay_address(self.peers.host, self.peers.port)

    @property
    def max_store_age(self) -> timedelta:
        """How long a daemon may go on without a confirmation that it knows all store changes."""
        return MAX_STORE_AGE_FRACTION * min(
            self.configuration_bound, self.drain, self.evacuation_bound
        )

    @property
    def evacuating_owner_time(self) -> timedelta:
        """For how long owners of keys in a zone get requests after its evacuation is known."""
        return EVACUATING_OWNER_FRACTION * self.evacuation_bound
