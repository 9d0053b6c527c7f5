"""Decodes the platform's configuration document into a `Catalogue`."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from lentilcourse.catalogue import (
    DEFAULT_FLOW_IDLE_S,
    Catalogue,
    PublishedEntry,
    ServicePolicy,
    WeightedService,
)
from lentilcourse.clocks import MS_PER_S
from lentilcourse.options import Address, parse_address
from lentilcourse.platform.fields import (
    MalformedCallError,
    as_object,
    number,
    objects,
    read_object,
    text,
    whole,
)

REPEATABLE_KINDS: Final = ("safe", "download")
KINDS: Final = (*REPEATABLE_KINDS, "unsafe", "upload")


def decode_document(body: bytes) -> Catalogue:
    """Return the catalogue of a document; raises `MalformedCallError` for an invalid one."""
    document = read_object(body)
    services = tuple(_service(each) for each in objects(document, "services"))
    names = {service.name for service in services}
    if len(names) != len(services):
        raise MalformedCallError("services: a name stands twice")
    entries = tuple(_entry(each, names) for each in objects(document, "routes"))
    if len({entry.address for entry in entries}) != len(entries):
        raise MalformedCallError("routes: two have the same hostname and pathPrefix")
    return Catalogue(
        number=whole(document, "version", 1),
        document=body,
        entries=entries,
        services=services,
        flow_idle_s=_flow_idle_s(document),
    )


def _flow_idle_s(document: Mapping[str, Any]) -> float:
    limits = as_object(document.get("limits", {}), "limits")
    return number(limits, "idleTimeoutMs", DEFAULT_FLOW_IDLE_S * MS_PER_S) / MS_PER_S


def _service(fields: Mapping[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=text(fields, "name"),
        connections=whole(fields, "maxConns", 1),
        cold_start_s=number(fields, "coldStartS", 0.0),
        cold_rate=number(fields, "coldPerS", 0.0),
    )


def _entry(fields: Mapping[str, Any], services: set[str]) -> PublishedEntry:
    kind = text(fields, "routeType")
    if kind not in KINDS:
        raise MalformedCallError(f"routeType: must be one of {', '.join(KINDS)}")
    whole(fields, "timeoutMs", 1)
    return PublishedEntry(
        name=text(fields, "name"),
        address=_entry_address(fields),
        services=_weighted_services(fields, services),
        rank=whole(fields, "priority", 0, default=0),
        repeatable=kind in REPEATABLE_KINDS,
    )


def _entry_address(fields: Mapping[str, Any]) -> Address:
    """Return the address that callers use: `hostname` is its IP, `pathPrefix` its port."""
    host = text(fields, "hostname")
    port = text(fields, "pathPrefix").strip("/")
    try:
        return parse_address(f"{host}:{port}")
    except ValueError as exc:
        raise MalformedCallError(f"hostname, pathPrefix: {exc}") from exc


def _weighted_services(
    fields: Mapping[str, Any], services: set[str]
) -> tuple[WeightedService, ...]:
    if fields.get("trafficSplit"):
        parts = tuple(
            WeightedService(service=text(part, "service"), weight=whole(part, "weight", 0))
            for part in objects(fields, "trafficSplit")
        )
    else:
        parts = (WeightedService(service=text(fields, "service"), weight=1),)
    for part in parts:
        if part.service not in services:
            raise MalformedCallError(f"service: {part.service!r} is unknown")
    if not any(part.weight for part in parts):
        raise MalformedCallError("weight: one must be above 0")
    return parts
