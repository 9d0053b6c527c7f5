"""The flows that an agent's target holds, and where other agents' flows are.

`FlowTable` holds the flows that this agent owns. `Directory` holds, for the buckets whose
home (or recorder) this agent is, which agent owns each flow.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Final

import attrs

from lentilcourse.agent.delivery import FlowChannel
from lentilcourse.messages.flows import FlowRecord

PROVISIONAL_LIFE_S: Final = 1.5
FORMER_HOME_LIFE_S: Final = 60.0


@attrs.define(kw_only=True)
class Flow:
    """One owned flow.

    Attributes:
        key: flow key.
        entry_id: entry of the flow.
        channel: path to the target.
        last_seen: time of the last packet in either direction (monotonic seconds).
        fins: directions of a TCP flow that have ended; bit 0 caller, bit 1 target.
    """

    key: bytes
    entry_id: int
    channel: FlowChannel
    last_seen: float
    fins: int = 0

    def record(self, now: float) -> FlowRecord:
        """Return the flow as it is registered."""
        return FlowRecord(
            key=self.key,
            entry_id=self.entry_id,
            local_port=self.channel.local_port,
            idle_ms=max(0, int((now - self.last_seen) * 1000)),
        )


class FlowTable:
    """Owned flows by key and by channel descriptor."""

    def __init__(self) -> None:
        self._flows: dict[bytes, Flow] = {}
        self._by_descriptor: dict[int, Flow] = {}
        self._by_entry: Counter[int] = Counter()

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[Flow]:
        return iter(list(self._flows.values()))

    def get(self, key: bytes) -> Flow | None:
        """Return an owned flow."""
        return self._flows.get(key)

    def by_descriptor(self, descriptor: int) -> Flow | None:
        """Return the flow whose channel has a descriptor."""
        return self._by_descriptor.get(descriptor)

    def count_of(self, entry_id: int) -> int:
        """Return the number of owned flows of an entry."""
        return self._by_entry[entry_id]

    def add(self, flow: Flow) -> None:
        """Own a flow."""
        self._flows[flow.key] = flow
        self._by_descriptor[flow.channel.fileno()] = flow
        self._by_entry[flow.entry_id] += 1

    def remove(self, flow: Flow) -> None:
        """Give a flow up."""
        if self._flows.pop(flow.key, None) is None:
            return
        self._by_descriptor.pop(flow.channel.fileno(), None)
        self._by_entry[flow.entry_id] -= 1


@attrs.define(kw_only=True)
class DirectoryEntry:
    """Who owns a flow.

    Attributes:
        owner: target that owns it, or that is asked to take it while `tried` is not empty.
        entry_id: entry of the flow.
        version: state version in force at the owner when it registered the flow.
        local_port: port from which the owner speaks to its target.
        expires: time after which an unconfirmed entry is void; infinite once registered.
        tried: targets that were asked to take the flow, in order.
        declines: why each of them but the last declined, as `admission.Decline` codes.
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
        """Whether the owner itself has registered the flow."""
        return not self.tried

    def record(self, key: bytes) -> FlowRecord:
        """Return the flow as its owner registered it; how long it is idle is not known."""
        return FlowRecord(key=key, entry_id=self.entry_id, local_port=self.local_port, idle_ms=0)


class Directory:
    """Owners of flows by flow key."""

    def __init__(self) -> None:
        self._entries: dict[bytes, DirectoryEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, key: bytes, now: float) -> DirectoryEntry | None:
        """Return who owns a flow; a void entry is removed."""
        entry = self._entries.get(key)
        if entry is None or entry.expires > now:
            return entry
        del self._entries[key]
        return None

    def put(self, key: bytes, entry: DirectoryEntry) -> None:
        """Record an owner."""
        self._entries[key] = entry

    def forget(self, key: bytes, owner: str) -> None:
        """Remove a flow if `owner` still owns it."""
        entry = self._entries.get(key)
        if entry is not None and entry.owner == owner:
            del self._entries[key]

    def remove(self, key: bytes) -> None:
        """Remove a flow."""
        self._entries.pop(key, None)

    def remove_owner(self, owner: str) -> None:
        """Remove all flows of an owner."""
        for key in [key for key, entry in self._entries.items() if entry.owner == owner]:
            del self._entries[key]

    def flows_of(self, owner: str) -> list[FlowRecord]:
        """Return all registered flows of an owner."""
        return [
            entry.record(key)
            for key, entry in self._entries.items()
            if entry.owner == owner and entry.registered
        ]

    def items(self) -> list[tuple[bytes, DirectoryEntry]]:
        """Return all entries."""
        return list(self._entries.items())

    def expire(self, now: float) -> None:
        """Remove all void entries."""
        for key in [key for key, entry in self._entries.items() if entry.expires <= now]:
            del self._entries[key]
