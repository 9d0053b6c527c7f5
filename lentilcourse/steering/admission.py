"""Admission of new flows by an agent, and the reasons for declining them."""

from __future__ import annotations

import enum

import attrs

from lentilcourse.catalogue import ServicePolicy
from lentilcourse.steering.datagrams import Envelope, service_key
from lentilcourse.steering.routes import Route


class Decline(enum.Enum):
    """Reason for which an agent declines a new flow."""

    STOPPING = "stopping"
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
    """Limits and addresses from the settings, see `SteeringAgentSettings`."""

    cold_overrun: float
    cold_slack: int
    flow_life_s: float
    domain: str
    own_address: tuple[str, int]
    target_address: tuple[str, int]
    caller_port: int


def cold_openings(policy: ServicePolicy | None, limits: AgentLimits) -> int | None:
    """Return the limit of openings per second for a cold target, or None for no limit.

    It is one less than the target allows, because a target may count an opening packet twice.
    """
    if policy is None or policy.cold_rate == 0:
        return None
    return max(1, int(policy.cold_rate * limits.cold_overrun) + limits.cold_slack - 1)


def entry_allows(route: Route | None, envelope: Envelope, number: int, service: str) -> bool:
    """Return whether a flow of an entry may be delivered to a service.

    `number` is the number of the local catalogue. If the balancer used a newer one, its routing
    decision is accepted; otherwise the route in the local catalogue decides.
    """
    key = service_key(service)
    if envelope.service != key:
        return False
    if envelope.catalogue > number:
        return True
    return route is not None and key in route.service_keys
