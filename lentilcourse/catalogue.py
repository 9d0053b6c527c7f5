"""A whole catalogue that operators publish as one change, by number.

Where a deployment keeps its catalogue in one document, the document replaces the former one
whole: the highest number is in force. Single entries (`model.Entry`) are edited one by one;
both forms live beside each other in the replicated state.
"""

from __future__ import annotations

from typing import Final

import attrs

from lentilcourse.options import Address

DEFAULT_FLOW_IDLE_S: Final = 15.0
"""Idle time of a flow in seconds where a catalogue names none."""


@attrs.frozen(kw_only=True)
class WeightedService:
    """One service of an entry; its part of new flows is `weight` over the sum of weights."""

    service: str
    weight: int


@attrs.frozen(kw_only=True)
class PublishedEntry:
    """One entry of a published catalogue.

    Attributes:
        name: name of the entry.
        address: address and port that callers use; unique in a catalogue.
        services: where new flows go.
        rank: rank of the traffic, 0 is served first.
        repeatable: whether its requests are idempotent.
        former_services: services that earlier catalogues named for the same address and that may
            still hold flows of it.
    """

    name: str
    address: Address
    services: tuple[WeightedService, ...]
    rank: int
    repeatable: bool
    former_services: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ServicePolicy:
    """What targets of a service can bear.

    Attributes:
        name: name of the service.
        connections: flows that one target holds at most.
        cold_start_s: seconds that a target stays cold after its start.
        cold_rate: requests a second that a cold target bears; 0 for no limit.
    """

    name: str
    connections: int
    cold_start_s: float
    cold_rate: float


@attrs.frozen(kw_only=True)
class Catalogue:
    """A published catalogue.

    Attributes:
        number: the operator's number; 0 before the first.
        document: the document as the operator sent it; read back unchanged.
        entries: the entries.
        services: the services.
        flow_idle_s: idle time after which a flow may be forgotten.
    """

    number: int = 0
    document: bytes = b""
    entries: tuple[PublishedEntry, ...] = ()
    services: tuple[ServicePolicy, ...] = ()
    flow_idle_s: float = DEFAULT_FLOW_IDLE_S


NO_CATALOGUE: Final = Catalogue()


def succeed_catalogue(former: Catalogue, published: Catalogue) -> Catalogue:
    """Return a published catalogue whose entries name the services that `former` had for them."""
    former_entries = {entry.address: entry for entry in former.entries}
    entries = (
        _with_former_services(entry, former_entries.get(entry.address))
        for entry in published.entries
    )
    return attrs.evolve(published, entries=tuple(entries))


def _with_former_services(entry: PublishedEntry, former: PublishedEntry | None) -> PublishedEntry:
    if former is None:
        return entry
    current = {each.service for each in entry.services}
    named = {each.service for each in former.services} | set(former.former_services)
    return attrs.evolve(entry, former_services=tuple(sorted(named - current)))
