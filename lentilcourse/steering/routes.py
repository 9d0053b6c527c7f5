"""Where new flows of each entry go, derived from the published catalogue."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from xxhash import xxh3_64_intdigest

from lentilcourse.catalogue import Catalogue, PublishedEntry
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
    """Routes of the catalogue in force, by packed entry address."""

    def __init__(self, *, catalogue: Callable[[], Catalogue]) -> None:
        self._catalogue = catalogue
        self._number = 0
        self._routes: dict[bytes, Route] = {}

    def find(self, entry: bytes) -> Route | None:
        """Return the route of an entry address."""
        catalogue = self._catalogue()
        if catalogue.number != self._number:
            self._routes = build_routes(catalogue)
            self._number = catalogue.number
        return self._routes.get(entry)


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
