"""Where new flows of each entry go and what services bear, from the published catalogue.

Both are looked up for each new flow, so they are indexed once for each catalogue.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
from xxhash import xxh3_64_intdigest

from lentilcourse.catalogue import Catalogue, PublishedEntry, ServicePolicy
from lentilcourse.steering.datagrams import pack_address, service_key


@attrs.frozen(kw_only=True)
class Route:
    """One entry as steering uses it.

    Attributes:
        entry: the entry.
        keys: service keys with a weight above 0.
        bounds: cumulative weights of `keys`.
    """

    entry: PublishedEntry
    keys: tuple[bytes, ...]
    bounds: tuple[int, ...]

    def service_for(self, flow: bytes) -> bytes:
        """Return the service of a new flow; the same for every copy of its opening packet."""
        point = xxh3_64_intdigest(flow) % self.bounds[-1]
        return next(key for key, bound in zip(self.keys, self.bounds, strict=True) if point < bound)


class Routes:
    """Routes and policies of the catalogue in force."""

    def __init__(self, *, catalogue: Callable[[], Catalogue]) -> None:
        self._catalogue = catalogue
        self._number = 0
        self._routes: dict[bytes, Route] = {}
        self._policies: dict[str, ServicePolicy] = {}

    def find(self, entry: bytes) -> Route | None:
        """Return the route of an entry, by its packed address."""
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
    """Return the routes of a catalogue."""
    return {pack_address(entry.address): _build_route(entry) for entry in catalogue.entries}


def _build_route(entry: PublishedEntry) -> Route:
    keys: list[bytes] = []
    bounds: list[int] = []
    total = 0
    for part in entry.services:
        if part.weight > 0:
            total += part.weight
            keys.append(service_key(part.service))
            bounds.append(total)
    return Route(entry=entry, keys=tuple(keys), bounds=tuple(bounds))
