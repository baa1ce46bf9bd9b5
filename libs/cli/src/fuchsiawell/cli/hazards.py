"""Changes of configuration that could break a promise, found before they are in force."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiawell.config import Configuration, Kind, Service

__all__ = ["Consent", "keep_shard_counts", "refusals", "warnings"]


@dataclass(frozen=True, slots=True)
class Consent:
    """Hold what the operator agreed to beforehand."""

    remove: frozenset[str] = frozenset()  # services that may go
    keep_shards: bool = False  # shard counts in force win over the file's


def keep_shard_counts(before: Configuration | None, after: Configuration) -> Configuration:
    """Return `after` with the shard counts of the services that `before` has too."""
    if before is None:
        return after
    services = {
        name: (
            replace(service, shard_count=before.services_by_name[name].shard_count)
            if name in before.services_by_name
            else service
        )
        for name, service in after.services_by_name.items()
    }
    return replace(after, services_by_name=services)


def refusals(before: Configuration | None, after: Configuration, consent: Consent) -> Iterator[str]:
    """Yield the reasons why `after` must not replace `before` as it stands."""
    if before is None:
        return
    gone = before.services_by_name.keys() - after.services_by_name.keys()
    for service in sorted(gone.difference(consent.remove)):
        yield (
            f"service {service} would be removed and all its keys with it; "
            f"if that is meant, add --remove {service}"
        )
    for name in sorted(consent.remove.difference(gone)):
        yield f"--remove {name}: the file does not remove a service of this name"
    for old, new in _common_services(before, after):
        if old.shard_count != new.shard_count:
            yield (
                f"service {new.name} would go from {old.shard_count} to {new.shard_count} shards, "
                "which gives its keys other owners while the old ones still work; "
                "add --keep-shards to leave the count as it is"
            )


def warnings(before: Configuration | None, after: Configuration) -> Iterator[str]:
    """Yield what an operator should know of the change, though it is allowed."""
    if before is None:
        return
    for zone in sorted(set(before.zones) - set(after.zones)):
        yield f"zone {zone} goes: hosts there are no longer expected"
    for old, new in _common_services(before, after):
        yield from _service_warnings(old, new)


def _common_services(
    before: Configuration, after: Configuration
) -> Iterator[tuple[Service, Service]]:
    for name in sorted(before.services_by_name.keys() & after.services_by_name.keys()):
        yield before.services_by_name[name], after.services_by_name[name]


def _service_warnings(old: Service, new: Service) -> Iterator[str]:
    if new.checks_fence and not old.checks_fence:
        yield f"service {new.name}: right only if every backend server checks who orders by now"
    if new.checks_deadline and not old.checks_deadline:
        yield f"service {new.name}: right only if every backend server stops at the deadline by now"
    if not new.checks_fence and new.longest_deadline_s < old.longest_deadline_s:
        yield (
            f"service {new.name}: successors of lost servers wait less from now on; avoid restarts "
            f"for {old.longest_deadline_s:g} s, until work under the old deadline has ended"
        )
    for name in sorted(old.kinds_by_name.keys() - new.kinds_by_name.keys()):
        yield f"kind {new.name}/{name} goes: its callers are refused from now on"
    for name in sorted(old.kinds_by_name.keys() & new.kinds_by_name.keys()):
        place = f"kind {new.name}/{name}"
        yield from _kind_warnings(place, old.kinds_by_name[name], new.kinds_by_name[name])


def _kind_warnings(place: str, old: Kind, new: Kind) -> Iterator[str]:
    if new.repeatable and not old.repeatable:
        yield f"{place}: may run more than once from now on"
    elif new.resend_window_s < old.resend_window_s:
        yield f"{place}: callers that resend after {new.resend_window_s:g} s are refused"
