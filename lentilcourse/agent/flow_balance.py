"""Which candidate is offered a new flow first."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from lentilcourse.messages.flows import FlowLoad


@attrs.define(kw_only=True)
class PeerLoad:
    """What a peer last said of its flows, and how many were sent there since."""

    flows: int = 0
    limit: int = 1
    sent_since: int = 0


class FlowBalance:
    """Utilisation of the candidates, as their agents last told it."""

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

    def note(self, peer: str, msg: FlowLoad) -> None:
        """Take what a peer says of its load."""
        self._loads[peer] = PeerLoad(flows=msg.flows, limit=msg.limit)

    def note_sent(self, peer: str) -> None:
        """Count a flow that was offered to a peer."""
        self._loads.setdefault(peer, PeerLoad()).sent_since += 1

    def own_load(self, now: float) -> FlowLoad:
        """Return the own load, to be told to the peers."""
        return FlowLoad(owner=self._name, flows=self._own_flows(), limit=self._own_limit(now))

    def ranked(self, names: list[str], now: float) -> list[str]:
        """Order candidates: the home while it is not above the others, else the better of two.

        A flow that its home owns costs one hop less for each packet.
        """
        if len(names) < 2:
            return names
        if self._name in names and self._utilisation(self._name, now) <= self._mean(names, now):
            pair = [self._name]
        else:
            pair = self._rng.sample(names, 2)
        first = min(pair, key=lambda name: self._utilisation(name, now))
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
        return (load.flows + load.sent_since) / max(1, load.limit)
