"""Routes of entries and policies of services, from the published catalogue.

Both are looked up for every new flow, so they are indexed once per catalogue.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
from xxhash import xxh3_64_intdigest

from lentilcourse.catalogue import Catalogue, PublishedEntry, ServicePolicy
from lentilcourse.steering.datagrams import pack_address, service_key


@attrs.frozen(kw_only=True)
class Route:
    """Route of an entry to its services.

    Attributes:
        entry: the published entry.
        service_keys: keys of the services with a weight above 0.
        cumulative_weights: cumulative weights of `service_keys`.
        holder_keys: keys of all services that may hold flows of the entry.
    """

    entry: PublishedEntry
    service_keys: tuple[bytes, ...]
    cumulative_weights: tuple[int, ...]
    holder_keys: tuple[bytes, ...]

    def service_for(self, flow: bytes) -> bytes:
        """Return the service key for a new flow; retransmitted opening packets get the same one."""
        point = xxh3_64_intdigest(flow) % self.cumulative_weights[-1]
        return next(
            key
            for key, bound in zip(self.service_keys, self.cumulative_weights, strict=True)
            if point < bound
        )


class Routes:
    """Index of the routes and policies in the current catalogue."""

    def __init__(self, *, catalogue: Callable[[], Catalogue]) -> None:
        self._catalogue = catalogue
        self._number = 0
        self._routes: dict[bytes, Route] = {}
        self._policies: dict[str, ServicePolicy] = {}

    def find(self, entry: bytes) -> Route | None:
        """Return the route for the packed address of an entry."""
        self._refresh()
        return self._routes.get(entry)

    def policy(self, service: str) -> ServicePolicy | None:
        """Return the policy of a service."""
        self._refresh()
        return self._policies.get(service)

    def _refresh(self) -> None:
        catalogue = self._catalogue()
        if catalogue.number != self._number:
            self._routes = build_routes(catalogue)
            self._policies = {policy.name: policy for policy in catalogue.services}
            self._number = catalogue.number


def build_routes(catalogue: Catalogue) -> dict[bytes, Route]:
    """Build the routes of a catalogue, by packed entry address."""
    return {pack_address(entry.address): _build_route(entry) for entry in catalogue.entries}


def _build_route(entry: PublishedEntry) -> Route:
    service_keys: list[bytes] = []
    cumulative_weights: list[int] = []
    total = 0
    for weighted in entry.services:
        if weighted.weight > 0:
            total += weighted.weight
            service_keys.append(service_key(weighted.service))
            cumulative_weights.append(total)
    holders = (*(weighted.service for weighted in entry.services), *entry.former_services)
    return Route(
        entry=entry,
        service_keys=tuple(service_keys),
        cumulative_weights=tuple(cumulative_weights),
        holder_keys=tuple(dict.fromkeys(service_key(service) for service in holders)),
    )
