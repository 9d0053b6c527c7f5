"""The part of the replicated state that an agent's packet path uses.

A new view is built from each new state and replaces the old one as a whole, so that all
decisions on one packet use the same version.
"""

from __future__ import annotations

import attrs

from lentilcourse.buckets import EMPTY_TABLE, BucketTable, build_table, takes_new_work
from lentilcourse.model import Entry, Limits, State, Target, TargetState
from lentilcourse.service_keys import entry_service_key


@attrs.frozen(kw_only=True)
class FlowView:
    """One version of the state as one agent's packet path sees it.

    Attributes:
        version: state version.
        name: name of this agent's target.
        own: record of this agent's target; None until it has joined.
        entries: entries of the target's service by entry id.
        service_keys: service key of each entry by entry id.
        table: bucket table of the target's service.
        peers: all other targets of the service by name.
        out: names of the service's targets in failure domains that are out.
        by_address: names of the service's targets by the UDP address of their agent.
        shares: this agent's share of the limits of each entry, by entry id.
    """

    version: int
    name: str
    own: Target | None
    entries: dict[int, Entry]
    service_keys: dict[int, bytes | None]
    table: BucketTable
    peers: dict[str, Target]
    out: frozenset[str]
    by_address: dict[tuple[str, int], str]
    shares: dict[int, Limits]

    @property
    def domain_out(self) -> bool:
        """Whether the failure domain of this agent's target is out."""
        return self.name in self.out

    @property
    def draining(self) -> bool:
        """Whether this agent's target is draining or has not joined."""
        return self.own is None or self.own.state is TargetState.DRAINING

    def recorder(self, bucket: int) -> str | None:
        """Return the target whose agent records this agent's flows of a bucket.

        This is the home of the bucket, or the next candidate if this agent is the home itself.
        """
        return next((name for name in self.table.candidates[bucket] if name != self.name), None)

    def new_flow_candidates(self, bucket: int) -> tuple[str, ...]:
        """Return the targets that may be offered a new flow of a bucket, in order."""
        return tuple(name for name in self.table.candidates[bucket] if self._takes_new_work(name))

    def _takes_new_work(self, name: str) -> bool:
        target = self.own if name == self.name else self.peers.get(name)
        return target is not None and takes_new_work(target)


def build_view(state: State, name: str) -> FlowView:
    """Return the view of the agent of target `name`."""
    own = state.targets.get(name)
    if own is None:
        return empty_view(name, state.version)
    members = state.service_targets(own.service)
    entries = {
        entry.entry_id: entry
        for entry in state.entries.values()
        if entry.service == own.service and entry_service_key(entry) is not None
    }
    return FlowView(
        version=state.version,
        name=name,
        own=own,
        entries=entries,
        service_keys={key: entry_service_key(entry) for key, entry in entries.items()},
        table=build_table(state, own.service),
        peers={each.name: each for each in members if each.name != name},
        out=frozenset(each.name for each in members if state.domain_out(each.domain)),
        by_address={each.data_address.pair(): each.name for each in members},
        shares={key: state.granted_share(entry, own) for key, entry in entries.items()},
    )


def empty_view(name: str, version: int) -> FlowView:
    """Return the view of an agent whose target has not joined the service."""
    return FlowView(
        version=version,
        name=name,
        own=None,
        entries={},
        service_keys={},
        table=EMPTY_TABLE,
        peers={},
        out=frozenset(),
        by_address={},
        shares={},
    )
