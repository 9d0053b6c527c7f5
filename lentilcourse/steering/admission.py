"""Whether the target beside an agent takes a new flow, and why not."""

from __future__ import annotations

import enum

import attrs

from lentilcourse.catalogue import ServicePolicy
from lentilcourse.steering.datagrams import Envelope, service_key
from lentilcourse.steering.routes import Route


class Decline(enum.Enum):
    """Why an agent's target does not take a new flow."""

    NO_TARGET = "no-target"
    DRAINING = "draining"
    NO_STATE = "no-state"
    DOMAIN_OUT = "domain-out"
    WRONG_SERVICE = "wrong-service"
    CONNECTIONS = "connections"
    COLD = "cold"
    TARGET_FULL = "target-full"


@attrs.frozen(kw_only=True)
class AgentLimits:
    """Limits from the settings: see `SteeringAgentSettings`."""

    cold_overrun: float
    cold_slack: int
    flow_life_s: float
    domain: str
    own: tuple[str, int]
    target: tuple[str, int]
    caller_port: int


def cold_openings(policy: ServicePolicy | None, limits: AgentLimits) -> int | None:
    """Return how many openings in one second a cold target takes, None for no limit.

    One less than is allowed, for an opening packet that a target takes twice.
    """
    if policy is None or policy.cold_rate == 0:
        return None
    return max(1, int(policy.cold_rate * limits.cold_overrun) + limits.cold_slack - 1)


def entry_allows(route: Route | None, envelope: Envelope, number: int, service: str) -> bool:
    """Return whether a flow of an entry may go to a service.

    A balancer with a newer catalogue than `number` has decided by that one; otherwise the
    route of the catalogue here decides.
    """
    key = service_key(service)
    if envelope.service != key:
        return False
    if envelope.catalogue > number:
        return True
    return route is not None and key in route.keys
