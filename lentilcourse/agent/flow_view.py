"""What an agent reads of the replicated state to carry packets.

Built whole from each new state, so that one packet is decided on one version.
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
        name: target beside this agent.
        own: its record; None until it has joined.
        entries: entries of the own service by entry id.
        service_keys: service address of each entry by entry id.
        table: bucket table of the own service.
        peers: all other targets of the own service by name.
        out: names of targets of the own service in failure domains that are out.
        by_address: target names by the agent's UDP address.
        shares: what this agent may use of the limits of each entry, by entry id.
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
        """Whether the own failure domain is out of service."""
        return self.name in self.out

    @property
    def draining(self) -> bool:
        """Whether the own target is to take no new work."""
        return self.own is None or self.own.state is TargetState.DRAINING

    def recorder(self, bucket: int) -> str | None:
        """Return the other target that records this agent's flows of a bucket.

        It is the home, or the next candidate where this agent itself is the home.
        """
        return next((each for each in self.table.candidates[bucket] if each != self.name), None)

    def hunt_candidates(self, bucket: int) -> tuple[str, ...]:
        """Return the targets that may take a new flow of a bucket."""
        return tuple(name for name in self.table.candidates[bucket] if self._takes_new_work(name))

    def _takes_new_work(self, name: str) -> bool:
        target = self.own if name == self.name else self.peers.get(name)
        return target is not None and takes_new_work(target)


def build_view(state: State, name: str) -> FlowView:
    """Return the view of the agent beside target `name`."""
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
    """Return the view of an agent whose target has not joined."""
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
