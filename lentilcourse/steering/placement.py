"""Load information that a balancer uses to place new flows.

The cost of an agent is computed from its last reported load and the flows that this balancer has
offered it since. An agent that does not answer offers is avoided for a while, or until its next
notice.
"""

from __future__ import annotations

from typing import Final

import attrs

from lentilcourse.steering.peers import Peer

LOAD_PER_OFFER: Final = 0.25
"""Estimated load of an offered flow until the next load report of its agent."""
OTHER_DOMAIN_PENALTY: Final = 0.5
"""Penalty for agents in other failure domains: a remote target is preferred only if its load is
lower than that of a local one by more than this."""
REPORT_WEIGHT: Final = 0.02
"""Weight of a report in the mean load, which stands for agents without a recent report."""
LOAD_REPORT_LIFE_S: Final = 2.0
"""Age above which the mean load replaces the load report of an agent."""
OFFER_ANSWER_TIMEOUT_S: Final = 0.4
"""Time for which an offer may remain unanswered before its agent is avoided."""
AVOIDANCE_PERIOD_S: Final = 2.0
"""Time for which an unresponsive agent is avoided before it is offered a flow again."""


@attrs.define(kw_only=True, slots=True)
class AgentLoad:
    """Known load of an agent.

    Attributes:
        load: last reported number of requests in flight per slot.
        reported_at: time of that report.
        offers_since_report: number of flows offered to the agent since that report.
        waiting_since: time of the first unanswered offer; infinite if there is none.
        avoided_until: time until which the agent is avoided.
    """

    load: float = 0.0
    reported_at: float = float("-inf")
    offers_since_report: int = 0
    waiting_since: float = float("inf")
    avoided_until: float = float("-inf")


class AgentLoads:
    """Loads of all agents by peer address.

    Attributes:
        mean_load: moving average over the reports of all agents.
    """

    def __init__(self) -> None:
        self.mean_load = 0.0
        self._loads: dict[tuple[str, int], AgentLoad] = {}

    def record_report(self, address: tuple[str, int], load: float, now: float) -> None:
        """Record a load report of an agent."""
        agent_load = self.get(address)
        self.mean_load += REPORT_WEIGHT * (load - self.mean_load)
        agent_load.load = load
        agent_load.reported_at = now
        agent_load.offers_since_report = 0
        agent_load.waiting_since = float("inf")
        agent_load.avoided_until = float("-inf")

    def record_offer(self, address: tuple[str, int], now: float) -> None:
        """Record an offer to an agent."""
        agent_load = self.get(address)
        agent_load.offers_since_report += 1
        agent_load.waiting_since = min(agent_load.waiting_since, now)

    def record_unanswered_offer(self, address: tuple[str, int], now: float) -> None:
        """Avoid an agent that has not answered an offer."""
        agent_load = self.get(address)
        if agent_load.reported_at <= agent_load.waiting_since:
            agent_load.avoided_until = now + AVOIDANCE_PERIOD_S

    def is_avoided(self, address: tuple[str, int], now: float) -> bool:
        """Return whether an agent is currently avoided."""
        agent_load = self.get(address)
        if now - agent_load.waiting_since > OFFER_ANSWER_TIMEOUT_S:
            agent_load.avoided_until = now + AVOIDANCE_PERIOD_S
            agent_load.waiting_since = float("inf")
        return now < agent_load.avoided_until

    def cost(self, peer: Peer, domain: str, now: float) -> float:
        """Return the estimated cost of placing a new flow at an agent; lower is better."""
        agent_load = self.get(peer.address)
        is_recent = now - agent_load.reported_at <= LOAD_REPORT_LIFE_S
        load = agent_load.load if is_recent else self.mean_load
        domain_penalty = 0.0 if peer.domain == domain else OTHER_DOMAIN_PENALTY
        return (
            load
            + agent_load.offers_since_report * LOAD_PER_OFFER / max(1, peer.slots)
            + domain_penalty
        )

    def get(self, address: tuple[str, int]) -> AgentLoad:
        """Return the load record of an agent, creating it if needed."""
        agent_load = self._loads.get(address)
        if agent_load is None:
            agent_load = self._loads[address] = AgentLoad()
        return agent_load


def usable_peers(peers: tuple[Peer, ...], loads: AgentLoads, now: float) -> tuple[Peer, ...]:
    """Return the agents that are not currently avoided, or all agents if all are avoided."""
    return tuple(peer for peer in peers if not loads.is_avoided(peer.address, now)) or peers
