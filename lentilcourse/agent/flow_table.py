"""Tables of the flows that an agent owns, and of the owners of other flows.

`FlowTable` lists the flows that this agent owns and its target holds. `Directory` maps each flow
to its owner, for the buckets of which this agent is the home or the recorder.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Final

import attrs

from lentilcourse.agent.delivery import FlowChannel
from lentilcourse.messages.flows import FlowRecord

OFFER_TIMEOUT_S: Final = 1.5
FORMER_HOME_RETENTION_S: Final = 60.0


@attrs.define(kw_only=True)
class Flow:
    """A flow that this agent owns.

    Attributes:
        key: flow key.
        entry_id: entry of the flow.
        channel: channel to the target.
        last_seen: time of the last packet in either direction (monotonic seconds).
        fins: closed directions of a TCP flow; bit 0: from the caller, bit 1: from the target.
    """

    key: bytes
    entry_id: int
    channel: FlowChannel
    last_seen: float
    fins: int = 0

    def record(self, now: float) -> FlowRecord:
        """Return the record with which the flow is registered."""
        return FlowRecord(
            key=self.key,
            entry_id=self.entry_id,
            local_port=self.channel.local_port,
            idle_ms=max(0, int((now - self.last_seen) * 1000)),
        )


class FlowTable:
    """Owned flows, indexed by flow key and by channel descriptor."""

    def __init__(self) -> None:
        self._flows: dict[bytes, Flow] = {}
        self._by_descriptor: dict[int, Flow] = {}
        self._by_entry: Counter[int] = Counter()

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[Flow]:
        return iter(list(self._flows.values()))

    def get(self, key: bytes) -> Flow | None:
        """Return an owned flow by its key."""
        return self._flows.get(key)

    def by_descriptor(self, descriptor: int) -> Flow | None:
        """Return the flow whose channel has the given file descriptor."""
        return self._by_descriptor.get(descriptor)

    def count_of(self, entry_id: int) -> int:
        """Return the number of owned flows that belong to an entry."""
        return self._by_entry[entry_id]

    def add(self, flow: Flow) -> None:
        """Add an owned flow."""
        self._flows[flow.key] = flow
        self._by_descriptor[flow.channel.fileno()] = flow
        self._by_entry[flow.entry_id] += 1

    def remove(self, flow: Flow) -> None:
        """Remove a flow; does nothing if it is not in the table."""
        if self._flows.pop(flow.key, None) is None:
            return
        self._by_descriptor.pop(flow.channel.fileno(), None)
        self._by_entry[flow.entry_id] -= 1


@attrs.define(kw_only=True)
class DirectoryEntry:
    """Owner of a flow, or an offer of a new flow that has not been accepted yet.

    Attributes:
        owner: target that owns the flow, or that it is offered to while `tried` is not empty.
        entry_id: entry of the flow.
        version: state version in force at the owner when it registered the flow.
        local_port: source port of the flow at the target.
        expires: time at which the entry expires (monotonic seconds); infinite once registered,
            while this agent is home or recorder and the owner's failure domain is in.
        tried: targets that the flow was offered to, in order.
        declines: reasons of the targets in `tried` that have declined, as `admission.Decline`
            codes.
    """

    owner: str
    entry_id: int
    version: int = 0
    local_port: int = 0
    expires: float = float("inf")
    tried: tuple[str, ...] = ()
    declines: tuple[int, ...] = ()

    @property
    def registered(self) -> bool:
        """Whether the owner has registered the flow; false for a pending offer."""
        return not self.tried

    def record(self, key: bytes) -> FlowRecord:
        """Return the flow as its owner registered it; the idle time is unknown and set to 0."""
        return FlowRecord(key=key, entry_id=self.entry_id, local_port=self.local_port, idle_ms=0)


class Directory:
    """Directory entries by flow key."""

    def __init__(self) -> None:
        self._entries: dict[bytes, DirectoryEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, key: bytes, now: float) -> DirectoryEntry | None:
        """Return the entry of a flow; an expired entry is removed."""
        entry = self._entries.get(key)
        if entry is None or entry.expires > now:
            return entry
        del self._entries[key]
        return None

    def put(self, key: bytes, entry: DirectoryEntry) -> None:
        """Add or replace the entry of a flow."""
        self._entries[key] = entry

    def forget(self, key: bytes, owner: str) -> None:
        """Remove the entry of a flow if `owner` is still its owner."""
        entry = self._entries.get(key)
        if entry is not None and entry.owner == owner:
            del self._entries[key]

    def remove(self, key: bytes) -> None:
        """Remove the entry of a flow, if there is one."""
        self._entries.pop(key, None)

    def remove_owner(self, owner: str) -> None:
        """Remove all entries of an owner."""
        for key in [key for key, entry in self._entries.items() if entry.owner == owner]:
            del self._entries[key]

    def flows_of(self, owner: str) -> list[FlowRecord]:
        """Return records of all registered flows of an owner."""
        return [
            entry.record(key)
            for key, entry in self._entries.items()
            if entry.owner == owner and entry.registered
        ]

    def items(self) -> list[tuple[bytes, DirectoryEntry]]:
        """Return a copy of all entries by flow key."""
        return list(self._entries.items())

    def expire(self, now: float) -> None:
        """Remove all expired entries."""
        for key in [key for key, entry in self._entries.items() if entry.expires <= now]:
            del self._entries[key]
