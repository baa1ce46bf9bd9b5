"""Expected size of a route's responses, from those that this daemon has received."""

from __future__ import annotations

from fuchsiawell.balance.zone_room import MIN_PRICED_BYTES

__all__ = ["ResponseSizes"]

# Weight of a new sample: about ten responses show a change.
SAMPLE_WEIGHT = 0.1
# A response counts as at most this long, so that one download does not keep the requests of its
# route in the zone.
MAX_SAMPLE_BYTES = 256 * 1024
# Routes that are kept; those without responses for longest are dropped.
MAX_ROUTES = 1000


class ResponseSizes:
    """Moving averages of response bodies by route."""

    def __init__(self) -> None:
        # The most recently updated last.
        self._mean_bytes_by_route: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._mean_bytes_by_route)

    def record(self, route: str, size_bytes: int) -> None:
        """Record the size of a response body."""
        sample = float(min(size_bytes, MAX_SAMPLE_BYTES))
        mean = self._mean_bytes_by_route.pop(route, None)
        if mean is None:
            mean = sample
            if len(self._mean_bytes_by_route) >= MAX_ROUTES:
                del self._mean_bytes_by_route[next(iter(self._mean_bytes_by_route))]
        self._mean_bytes_by_route[route] = mean + SAMPLE_WEIGHT * (sample - mean)

    def expected_bytes(self, route: str) -> int:
        """Return the expected size of a response; 0 if it is unknown or too small to count."""
        mean = self._mean_bytes_by_route.get(route, 0.0)
        return round(mean) if mean >= MIN_PRICED_BYTES else 0
