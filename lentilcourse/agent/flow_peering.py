"""The flow directory between the agents of one service.

Owners register their flows with the home of each flow's bucket, homes hold the directory, and
an agent that has lost its memory gets its flows back from those that recorded them. The
caller holds the lock of the packet path.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final

from lentilcourse.agent.completeness import Completeness
from lentilcourse.agent.flow_balance import FlowBalance
from lentilcourse.agent.flow_counts import FlowCounts
from lentilcourse.agent.flow_table import (
    FORMER_HOME_LIFE_S,
    Directory,
    DirectoryEntry,
    FlowTable,
)
from lentilcourse.agent.flow_view import FlowView, empty_view
from lentilcourse.agent.peers import AgentPeer, AgentPeers
from lentilcourse.agent.target import TargetMonitor
from lentilcourse.buckets import bucket_of
from lentilcourse.geneve import PacketLabel
from lentilcourse.messages.flows import (
    FlowLoad,
    FlowRecord,
    ForgetFlows,
    RecordedFlows,
    RecordsSent,
    RecoveredFlows,
    RegisterFlows,
    RegistrationComplete,
)

MAX_RECORDS_PER_MESSAGE: Final = 2000


class FlowPeering:
    """Directory, registrations and recovery of one agent.

    Attributes:
        directory: owners of flows whose home or recorder this agent is.
        completeness: which peers have registered all their flows.
        view: state version in force.
        peers: streams to the other agents; None until they are set up.
        to_recover: records of own flows that wait for state and target to be known.
    """

    def __init__(
        self,
        *,
        name: str,
        flows: FlowTable,
        counts: FlowCounts,
        monitor: TargetMonitor,
        balance: FlowBalance,
        own: Callable[[FlowRecord, float], bool],
    ) -> None:
        self.directory = Directory()
        self.completeness = Completeness(connected=self._is_connected)
        self.view = empty_view(name, 0)
        self.peers: AgentPeers | None = None
        self.to_recover: list[RecoveredFlows] = []
        self.counts = counts
        self._name = name
        self._flows = flows
        self._monitor = monitor
        self._balance = balance
        self._own = own
        self._memory_whole = False

    def on_view(self, old: FlowView, new: FlowView, now: float) -> None:
        """Follow a new view: what is recorded here, and where the own flows are recorded."""
        self._forget_former_runs(old, new)
        self._keep_or_expire_directory(new, now)
        self._register_moved(old, new, now)

    def forget(self, key: bytes) -> None:
        """Tell the recorder that an own flow has ended."""
        recorder = self.view.recorder(bucket_of(key))
        self.send(recorder, ForgetFlows(owner=self._name, keys=(key,)))

    def on_owned_elsewhere(
        self, key: bytes, label: PacketLabel, source: tuple[str, int], now: float
    ) -> None:
        """Record the owner that has answered a probe."""
        owner = self.view.by_address.get(source)
        self.completeness.end_probe(key)
        known = self.directory.find(key, now)
        if owner is not None and (known is None or not known.registered):
            entry = DirectoryEntry(owner=owner, entry_id=label.entry_id, version=label.version)
            self.directory.put(key, entry)

    def on_probed(self, key: bytes, source: tuple[str, int], now: float) -> None:
        """Tell a home who owns the flow that it looks for, if that is recorded here.

        The home itself may be the owner and have lost its memory, or the owner may be down.
        """
        home = self.view.by_address.get(source)
        known = self.directory.find(key, now)
        target = self.view.peers.get(home) if home is not None else None
        if known is None or target is None or not known.registered:
            return
        flows = (known.record(key),)
        if known.owner == home:
            self.send(home, RecoveredFlows(incarnation=target.incarnation, flows=flows))
        else:
            msg = RecordedFlows(owner=known.owner, version=known.version, flows=flows)
            self.send(home, msg)

    def _forget_former_runs(self, old: FlowView, new: FlowView) -> None:
        for name, peer in new.peers.items():
            before = old.peers.get(name)
            if before is not None and before.target_id != peer.target_id:
                self.directory.remove_owner(name)

    def _keep_or_expire_directory(self, view: FlowView, now: float) -> None:
        for key, known in self.directory.items():
            if not known.registered:
                continue
            candidates = view.table.candidates[bucket_of(key)]
            if self._name in candidates[:2] and known.owner not in view.out:
                known.expires = float("inf")
            elif known.expires == float("inf"):
                known.expires = now + FORMER_HOME_LIFE_S

    def _register_moved(self, old: FlowView, new: FlowView, now: float) -> None:
        moved: dict[str, list[FlowRecord]] = {}
        for flow in self._flows:
            bucket = bucket_of(flow.key)
            recorder = new.recorder(bucket)
            if recorder is not None and recorder != old.recorder(bucket):
                moved.setdefault(recorder, []).append(flow.record(now))
        for name, records in moved.items():
            self.register_with(name, records)
        self._memory_whole = self.completeness.memory_is_whole(new, now)
        if self._memory_whole:
            self._broadcast_complete()

    def check_memory(self, now: float) -> None:
        """Tell the peers once this agent has its flows back and has registered them."""
        if self._memory_whole or self.view.own is None or self.to_recover:
            return
        if self.completeness.memory_is_whole(self.view, now):
            self._memory_whole = True
            self._broadcast_complete()

    def _broadcast_complete(self) -> None:
        if self.peers is not None:
            self.peers.broadcast(RegistrationComplete(owner=self._name, version=self.view.version))

    def greet(self, peer: AgentPeer, now: float) -> None:
        """Register everything with a peer to which a stream was just opened."""
        view = self.view
        records = [
            flow.record(now)
            for flow in self._flows
            if view.recorder(bucket_of(flow.key)) == peer.target.name
        ]
        for part in _in_messages(records):
            peer.send_first(RegisterFlows(owner=self._name, version=view.version, flows=part))
        for recorded in self._recorded_for(peer.target.name):
            peer.send_first(recorded)
        peer.send_first(RecordsSent(recorder=self._name))
        if self._memory_whole:
            peer.send_first(RegistrationComplete(owner=self._name, version=view.version))

    def _recorded_for(self, owner: str) -> list[RecoveredFlows]:
        target = self.view.peers.get(owner)
        if target is None:
            return []
        return [
            RecoveredFlows(incarnation=target.incarnation, flows=part)
            for part in _in_messages(self.directory.flows_of(owner))
        ]

    def on_peer_lost(self, name: str) -> None:
        """Note that the incoming stream of a peer has ended."""
        self.completeness.revoke(name)

    @singledispatchmethod
    def on_message(self, msg: object, peer: str, now: float) -> None:
        """Take one message of another agent."""

    @on_message.register
    def _on_register(self, msg: RegisterFlows, peer: str, now: float) -> None:
        for record in msg.flows:
            self.completeness.end_probe(record.key)
            if self._flows.get(record.key) is not None:
                self.counts.owner_conflicts += 1
                continue
            self._put(record, peer, msg.version)

    @on_message.register
    def _on_forget(self, msg: ForgetFlows, peer: str, now: float) -> None:
        for key in msg.keys:
            self.directory.forget(key, peer)

    @on_message.register
    def _on_complete(self, msg: RegistrationComplete, peer: str, now: float) -> None:
        self.completeness.confirm(peer, msg.version)

    @on_message.register
    def _on_records_sent(self, msg: RecordsSent, peer: str, now: float) -> None:
        self.completeness.note_records_sent(peer)
        self.check_memory(now)

    @on_message.register
    def _on_recorded(self, msg: RecordedFlows, peer: str, now: float) -> None:
        if msg.owner not in self.view.peers:
            return
        for record in msg.flows:
            known = self.directory.find(record.key, now)
            owned = self._flows.get(record.key) is not None
            if owned or (known is not None and known.registered):
                continue
            self.completeness.end_probe(record.key)
            self._put(record, msg.owner, msg.version)

    def _put(self, record: FlowRecord, owner: str, version: int) -> None:
        """Record an owner as it registered a flow at a state version."""
        entry = DirectoryEntry(
            owner=owner,
            entry_id=record.entry_id,
            local_port=record.local_port,
            version=version,
        )
        self.directory.put(record.key, entry)

    @on_message.register
    def _on_load(self, msg: FlowLoad, peer: str, now: float) -> None:
        self._balance.note(peer, msg)

    @on_message.register
    def _on_recovered(self, msg: RecoveredFlows, peer: str, now: float) -> None:
        self.to_recover.append(msg)
        self.recover(now)

    def recover(self, now: float) -> None:
        """Own recorded flows again, once state and target are known here."""
        last = self._monitor.last
        if self.view.own is None or last is None:
            return
        waiting, self.to_recover = self.to_recover, []
        for msg in waiting:
            if msg.incarnation == last.incarnation:
                for record in msg.flows:
                    self._recover_flow(record, now)
        self.check_memory(now)

    def _recover_flow(self, record: FlowRecord, now: float) -> None:
        known = record.entry_id in self.view.entries and not self.view.domain_out
        if known and self._flows.get(record.key) is None and self._own(record, now):
            self.counts.recovered += 1
            self.register_with(self.view.recorder(bucket_of(record.key)), [record])

    def _is_connected(self, name: str) -> bool:
        return self.peers is not None and self.peers.is_connected(name)

    def register_with(self, name: str | None, records: list[FlowRecord]) -> None:
        """Register own flows with one peer."""
        version = self.view.version
        self.send(name, RegisterFlows(owner=self._name, version=version, flows=tuple(records)))

    def send(self, name: str | None, msg: object) -> None:
        """Queue a message for one peer; nothing happens for None."""
        if name is not None and self.peers is not None:
            self.peers.send(name, msg)


def _in_messages(records: list[FlowRecord]) -> list[tuple[FlowRecord, ...]]:
    """Return records in parts that one message carries."""
    return [
        tuple(records[start : start + MAX_RECORDS_PER_MESSAGE])
        for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE)
    ]
