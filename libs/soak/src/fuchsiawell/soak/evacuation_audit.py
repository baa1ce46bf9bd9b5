"""Check that servers of an evacuated zone get no requests after the bound."""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = ["EvacuationAudit"]

# From this time after the store has the key of an evacuation, no request may reach the zone.
BOUND_S = 5.0
# A daemon that was out of contact with the store is in contact again after this time.
CONTACT_S = 3.0


@dataclass(frozen=True)
class _Evacuation:
    zone: str
    start_s: float
    end_s: float = float("inf")


class EvacuationAudit:
    """Evacuations of zones, and requests that their servers executed; times are of one clock."""

    def __init__(self) -> None:
        self._evacuations: list[_Evacuation] = []
        self._executions: list[tuple[str, str, float]] = []
        self._disturbances: list[tuple[str | None, float, float]] = []

    def record_evacuated(self, zone: str, now_s: float) -> None:
        """Record that the store has the key of a zone."""
        self._evacuations.append(_Evacuation(zone, now_s))

    def record_taken_back(self, zone: str, now_s: float) -> None:
        """Record that the key of a zone is about to be removed."""
        self._evacuations = [
            replace(e, end_s=min(e.end_s, now_s)) if e.zone == zone else e
            for e in self._evacuations
        ]

    def record_execution(self, zone: str, daemon: str, now_s: float) -> None:
        """Record that a server of a zone executes a request that a daemon sent."""
        self._executions.append((zone, daemon, now_s))

    def record_disturbance(self, daemon: str | None, start_s: float, end_s: float) -> None:
        """Record that a daemon, or each, was out of contact with the store or did not run."""
        self._disturbances.append((daemon, start_s, end_s))

    def violations(self) -> list[str]:
        """Return the first late request of each evacuation and daemon, as text."""
        found: dict[tuple[_Evacuation, str], str] = {}
        for zone, daemon, at_s in self._executions:
            for evacuation in self._evacuations:
                late = evacuation.start_s + BOUND_S < at_s < evacuation.end_s
                if evacuation.zone == zone and late and not self._excused(daemon, at_s):
                    found.setdefault(
                        (evacuation, daemon),
                        f"{zone} got a request of {daemon} {at_s - evacuation.start_s:.3f} s "
                        f"after its evacuation, at {at_s:.3f}",
                    )
        return list(found.values())

    def _excused(self, daemon: str, at_s: float) -> bool:
        return any(
            name in (daemon, None) and start_s <= at_s <= end_s + CONTACT_S
            for name, start_s, end_s in self._disturbances
        )
