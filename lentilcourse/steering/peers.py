"""Tables of agents, derived from the directory and the replicated state.

A table is rebuilt only when one of these has changed, so that each packet costs only two version
comparisons.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lentilcourse.directory import STATE_IDLE, STATE_SERVING, AgentRecord, Directory
from lentilcourse.steering.datagrams import service_key
from lentilcourse.subscription import StateCopy


def hash_key(address: tuple[str, int]) -> bytes:
    """Return the bytes that stand for the agent at a peer address in rendezvous hashing."""
    return f"{address[0]}:{address[1]}".encode()


@attrs.frozen(kw_only=True)
class Peer:
    """An agent as used by steering.

    Attributes:
        name: name of the agent.
        address: its peer address (host and port).
        domain: its failure domain.
        slots: number of requests that its target processes concurrently.
        takes_passed: whether it understands opening packets that busy agents pass on.
        hash_key: bytes that stand for the agent in rendezvous hashing.
    """

    name: str
    address: tuple[str, int]
    domain: str
    slots: int
    takes_passed: bool = False
    hash_key: bytes = attrs.field(init=False)

    @hash_key.default
    def _hash_address(self) -> bytes:
        return hash_key(self.address)


@attrs.frozen(kw_only=True)
class PeerTable:
    """Known agents.

    Attributes:
        serving: agents that accept new flows, by service key.
        holders: agents whose targets may hold flows, by service key: all except agents that have
            never had a target.
        unassigned: holders that do not know the service of their target, as after a restart.
        known: all agents in the directory.
        names: their names.
    """

    serving: dict[bytes, tuple[Peer, ...]] = attrs.field(factory=dict)
    holders: dict[bytes, tuple[Peer, ...]] = attrs.field(factory=dict)
    unassigned: tuple[Peer, ...] = ()
    known: tuple[Peer, ...] = ()
    names: frozenset[str] = frozenset()

    def holders_of(self, services: Iterable[bytes]) -> tuple[Peer, ...]:
        """Return the agents that may hold flows of some services, given by their keys."""
        known = tuple(peer for service in services for peer in self.holders.get(service, ()))
        return known + self.unassigned


class Peers:
    """Maintains the current table of agents."""

    def __init__(self, *, directory: Directory, copy: StateCopy) -> None:
        self._directory = directory
        self._copy = copy
        self._built_versions = (-1, -1)
        self._table = PeerTable()

    def complete(self) -> bool:
        """Return whether the table contains every agent whose target may hold flows.

        Agents that have ended as planned hold none, though their registration ends a moment later.
        """
        registered = self._copy.current.agents.keys()
        return bool(registered) and registered <= self.table().names | self._directory.gone()

    def table(self) -> PeerTable:
        """Return the table for the current directory and state."""
        versions = (self._directory.version, self._copy.current.version)
        if versions != self._built_versions:
            self._table = self._build()
            self._built_versions = versions
        return self._table

    def _build(self) -> PeerTable:
        state = self._copy.current
        records = self._directory.records()
        serving: dict[bytes, list[Peer]] = {}
        holders: dict[bytes, list[Peer]] = {}
        unassigned: list[Peer] = []
        known: list[Peer] = []
        for record in records:
            peer, service = _peer(record), service_key(record.service)
            known.append(peer)
            if record.state == STATE_SERVING and not state.domain_out(record.domain):
                serving.setdefault(service, []).append(peer)
            if record.state == STATE_IDLE and record.name not in state.agents:
                continue
            if record.service:
                holders.setdefault(service, []).append(peer)
            else:
                unassigned.append(peer)
        return PeerTable(
            serving={key: tuple(peers) for key, peers in serving.items()},
            holders={key: tuple(peers) for key, peers in holders.items()},
            unassigned=tuple(unassigned),
            known=tuple(known),
            names=frozenset(record.name for record in records),
        )


def _peer(record: AgentRecord) -> Peer:
    return Peer(
        name=record.name,
        address=record.address.pair(),
        domain=record.domain,
        slots=record.slots,
        takes_passed=record.takes_passed,
    )
