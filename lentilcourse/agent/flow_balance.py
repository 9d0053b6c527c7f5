"""Ranks the candidates for a new flow by utilisation."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from lentilcourse.messages.flows import FlowLoad


@attrs.define(kw_only=True)
class PeerLoad:
    """Load that a peer last reported, and the number of flows offered to it since then."""

    flows: int = 0
    limit: int = 1
    offered_since: int = 0


class FlowBalance:
    """Utilisation of the candidates, from the load reports of their agents."""

    def __init__(
        self,
        *,
        name: str,
        own_flows: Callable[[], int],
        own_limit: Callable[[float], int],
        rng: random.Random,
    ) -> None:
        self._name = name
        self._own_flows = own_flows
        self._own_limit = own_limit
        self._rng = rng
        self._loads: dict[str, PeerLoad] = {}

    def update_load(self, peer: str, msg: FlowLoad) -> None:
        """Store a load report of a peer."""
        self._loads[peer] = PeerLoad(flows=msg.flows, limit=msg.limit)

    def count_offer(self, peer: str) -> None:
        """Count a flow that was offered to a peer since its last report."""
        self._loads.setdefault(peer, PeerLoad()).offered_since += 1

    def own_load(self, now: float) -> FlowLoad:
        """Return this agent's load report for its peers."""
        return FlowLoad(owner=self._name, flows=self._own_flows(), limit=self._own_limit(now))

    def ranked(self, names: list[str], now: float) -> list[str]:
        """Return candidates in the order in which a new flow is offered to them.

        This agent comes first while its utilisation is not above the mean: a flow owned by its
        home saves one hop for each packet. Otherwise the less utilised of two randomly chosen
        candidates comes first. The others follow by utilisation.
        """
        if len(names) < 2:
            return names
        if self._name in names and self._utilisation(self._name, now) <= self._mean(names, now):
            choices = [self._name]
        else:
            choices = self._rng.sample(names, 2)
        first = min(choices, key=lambda name: self._utilisation(name, now))
        rest = [name for name in names if name != first]
        return [first, *sorted(rest, key=lambda name: self._utilisation(name, now))]

    def _mean(self, names: list[str], now: float) -> float:
        return sum(self._utilisation(name, now) for name in names) / len(names)

    def _utilisation(self, name: str, now: float) -> float:
        if name == self._name:
            return self._own_flows() / max(1, self._own_limit(now))
        load = self._loads.get(name)
        if load is None:
            return 0.0
        return (load.flows + load.offered_since) / max(1, load.limit)
