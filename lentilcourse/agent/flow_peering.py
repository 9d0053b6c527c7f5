"""Flow directory protocol between the agents of one service.

Owners register their flows with the home of each flow's bucket, and homes keep the directory of
owners. An agent that restarts without its flow table recovers its flows from the agents that
recorded them. Callers must hold the lock of the packet path.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final

from lentilcourse.agent.completeness import Completeness
from lentilcourse.agent.flow_balance import FlowBalance
from lentilcourse.agent.flow_counts import FlowCounts
from lentilcourse.agent.flow_table import (
    FORMER_HOME_RETENTION_S,
    Directory,
    DirectoryEntry,
    FlowTable,
)
from lentilcourse.agent.flow_view import FlowView, empty_view
from lentilcourse.agent.peers import AgentPeer, AgentPeers
from lentilcourse.agent.target import TargetMonitor
from lentilcourse.buckets import bucket_of
from lentilcourse.geneve import FLAG_DECLINED, FLAG_OWNED, FLAG_RECORDED, PacketLabel, encode_label
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
from lentilcourse.packets import build_first_bytes, parse_host

MAX_RECORDS_PER_MESSAGE: Final = 2000
OWNER_PORT_BYTES: Final = 2
OWNER_ADDRESS_BYTES: Final = 6


class FlowPeering:
    """Flow directory, registrations and flow recovery of one agent.

    Attributes:
        directory: owners of the flows for which this agent is home or recorder.
        completeness: tracks which peers have registered all their flows.
        view: state version that this agent currently applies.
        peers: streams to the other agents; None until they are set up.
        to_recover: records of this agent's flows that are held back until it has received its
            state and an announcement of its target.
    """

    def __init__(
        self,
        *,
        name: str,
        flows: FlowTable,
        counts: FlowCounts,
        monitor: TargetMonitor,
        balance: FlowBalance,
        take_ownership: Callable[[FlowRecord, float], bool],
        on_owner_recorded: Callable[[bytes, float], None],
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
        self._take_ownership = take_ownership
        self._on_owner_recorded = on_owner_recorded
        self._recovery_complete = False

    def on_view(self, old: FlowView, new: FlowView, now: float) -> None:
        """Update the directory for a new view and register flows whose recorder changed."""
        self._remove_restarted_owners(old, new)
        self._update_directory_expiry(new, now)
        self._register_reassigned_flows(old, new, now)

    def forget(self, key: bytes) -> None:
        """Tell the recorder of an owned flow that the flow has ended."""
        recorder = self.view.recorder(bucket_of(key))
        self.send(recorder, ForgetFlows(owner=self._name, keys=(key,)))

    def on_ownership_announced(
        self, key: bytes, label: PacketLabel, address: tuple[str, int], now: float
    ) -> None:
        """Record the agent at an address as owner of a flow, unless one is registered already."""
        owner = self.view.by_address.get(address)
        self.completeness.end_probe(key)
        if owner is not None and label.flags & FLAG_OWNED:
            self.completeness.note_heard(owner, now)
        directory_entry = self.directory.find(key, now)
        if owner is not None and (directory_entry is None or not directory_entry.registered):
            entry = DirectoryEntry(
                owner=owner,
                entry_id=label.entry_id,
                version=label.version,
                local_port=label.detail,
            )
            self.directory.put(key, entry)
            self._on_owner_recorded(key, now)

    def on_probe(self, key: bytes, source: tuple[str, int], now: float) -> bytes | None:
        """Answer a home's probe with the registered owner of the flow, if there is a record here.

        The owner may be down, or the home itself may be the owner and have lost its flow table
        in a restart. There is no stream to a home that joined in a state version that this agent
        has not received yet; the answer to that one is returned as a datagram.
        """
        directory_entry = self.directory.find(key, now)
        if directory_entry is None or not directory_entry.registered:
            return None
        home = self.view.by_address.get(source)
        target = self.view.peers.get(home) if home is not None else None
        if target is None:
            return self._record_datagram(key, directory_entry)
        flows = (directory_entry.record(key),)
        if directory_entry.owner == home:
            self.send(home, RecoveredFlows(incarnation=target.incarnation, flows=flows))
        else:
            msg = RecordedFlows(
                owner=directory_entry.owner, version=directory_entry.version, flows=flows
            )
            self.send(home, msg)
        return None

    def _record_datagram(self, key: bytes, directory_entry: DirectoryEntry) -> bytes | None:
        """Return the datagram that names the owner of a flow, or None if its address is unknown.

        Earlier versions do not know FLAG_RECORDED, but ignore a decline without an offer.
        """
        owner = self.view.peers.get(directory_entry.owner)
        if owner is None:
            return None
        label = PacketLabel(
            entry_id=directory_entry.entry_id,
            version=directory_entry.version,
            flags=FLAG_RECORDED | FLAG_DECLINED,
            detail=directory_entry.local_port,
        )
        host, port = owner.data_address.pair()
        payload = parse_host(host) + port.to_bytes(OWNER_PORT_BYTES, "big")
        return encode_label(label) + build_first_bytes(key, payload)

    def _remove_restarted_owners(self, old: FlowView, new: FlowView) -> None:
        for name, peer in new.peers.items():
            previous = old.peers.get(name)
            if previous is not None and previous.target_id != peer.target_id:
                self.directory.remove_owner(name)

    def _update_directory_expiry(self, view: FlowView, now: float) -> None:
        for key, directory_entry in self.directory.items():
            if not directory_entry.registered:
                continue
            candidates = view.table.candidates[bucket_of(key)]
            if self._name in candidates[:2] and directory_entry.owner not in view.out:
                directory_entry.expires = float("inf")
            elif directory_entry.expires == float("inf"):
                directory_entry.expires = now + FORMER_HOME_RETENTION_S

    def _register_reassigned_flows(self, old: FlowView, new: FlowView, now: float) -> None:
        records_by_recorder: dict[str, list[FlowRecord]] = {}
        for flow in self._flows:
            bucket = bucket_of(flow.key)
            recorder = new.recorder(bucket)
            if recorder is not None and recorder != old.recorder(bucket):
                records_by_recorder.setdefault(recorder, []).append(flow.record(now))
        for name, records in records_by_recorder.items():
            self.register_with(name, records)
        self._recovery_complete = self.completeness.recovery_is_complete(new, now)
        if self._recovery_complete:
            self._broadcast_complete()

    def check_recovery(self, now: float) -> None:
        """Broadcast that all flows are registered, once recovery has completed."""
        if self._recovery_complete or self.view.own is None or self.to_recover:
            return
        if self.completeness.recovery_is_complete(self.view, now):
            self._recovery_complete = True
            self._broadcast_complete()

    def _broadcast_complete(self) -> None:
        if self.peers is not None:
            self.peers.broadcast(RegistrationComplete(owner=self._name, version=self.view.version))

    def on_peer_connected(self, peer: AgentPeer, now: float) -> None:
        """Queue the initial messages for a peer to which a stream was just opened.

        They register the flows that the peer records, return the records of the peer's own flows
        and, if recovery is complete, confirm that the registration is complete.
        """
        view = self.view
        records = [
            flow.record(now)
            for flow in self._flows
            if view.recorder(bucket_of(flow.key)) == peer.target.name
        ]
        for batch in _split_into_messages(records):
            peer.send_first(RegisterFlows(owner=self._name, version=view.version, flows=batch))
        for recorded in self._records_for_owner(peer.target.name):
            peer.send_first(recorded)
        peer.send_first(RecordsSent(recorder=self._name))
        if self._recovery_complete:
            peer.send_first(RegistrationComplete(owner=self._name, version=view.version))

    def _records_for_owner(self, owner: str) -> list[RecoveredFlows]:
        target = self.view.peers.get(owner)
        if target is None:
            return []
        return [
            RecoveredFlows(incarnation=target.incarnation, flows=batch)
            for batch in _split_into_messages(self.directory.flows_of(owner))
        ]

    def on_peer_lost(self, name: str) -> None:
        """Revoke the registration status of a peer whose incoming stream has ended."""
        self.completeness.revoke(name)

    @singledispatchmethod
    def on_message(self, msg: object, peer: str, now: float) -> None:
        """Process one message from another agent; unknown types are ignored."""

    @on_message.register
    def _on_register(self, msg: RegisterFlows, peer: str, now: float) -> None:
        for record in msg.flows:
            self.completeness.end_probe(record.key)
            if self._flows.get(record.key) is not None:
                self.counts.owner_conflicts += 1
                continue
            self._record_owner(record, peer, msg.version, now)

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
        self.check_recovery(now)

    @on_message.register
    def _on_recorded(self, msg: RecordedFlows, peer: str, now: float) -> None:
        if msg.owner not in self.view.peers:
            return
        for record in msg.flows:
            directory_entry = self.directory.find(record.key, now)
            owned = self._flows.get(record.key) is not None
            if owned or (directory_entry is not None and directory_entry.registered):
                continue
            self.completeness.end_probe(record.key)
            self._record_owner(record, msg.owner, msg.version, now)

    def _record_owner(self, record: FlowRecord, owner: str, version: int, now: float) -> None:
        """Record the owner of a flow, as registered at a state version."""
        entry = DirectoryEntry(
            owner=owner,
            entry_id=record.entry_id,
            local_port=record.local_port,
            version=version,
        )
        self.directory.put(record.key, entry)
        self._on_owner_recorded(record.key, now)

    @on_message.register
    def _on_load(self, msg: FlowLoad, peer: str, now: float) -> None:
        self._balance.update_load(peer, msg)

    @on_message.register
    def _on_recovered(self, msg: RecoveredFlows, peer: str, now: float) -> None:
        self.to_recover.append(msg)
        self.recover(now)

    def recover(self, now: float) -> None:
        """Take over the flows in `to_recover`, once state and target are known.

        Records of another incarnation of the target are discarded.
        """
        announcement = self._monitor.last
        if self.view.own is None or announcement is None:
            return
        pending, self.to_recover = self.to_recover, []
        for msg in pending:
            if msg.incarnation == announcement.incarnation:
                for record in msg.flows:
                    self._recover_flow(record, now)
        self.check_recovery(now)

    def _recover_flow(self, record: FlowRecord, now: float) -> None:
        in_service = record.entry_id in self.view.entries and not self.view.domain_out
        if in_service and self._flows.get(record.key) is None and self._take_ownership(record, now):
            self.counts.recovered += 1
            self.register_with(self.view.recorder(bucket_of(record.key)), [record])

    def _is_connected(self, name: str) -> bool:
        return self.peers is not None and self.peers.is_connected(name)

    def register_with(self, name: str | None, records: list[FlowRecord]) -> None:
        """Register owned flows with one peer."""
        version = self.view.version
        self.send(name, RegisterFlows(owner=self._name, version=version, flows=tuple(records)))

    def send(self, name: str | None, msg: object) -> None:
        """Queue a message for one peer; does nothing if `name` is None."""
        if name is not None and self.peers is not None:
            self.peers.send(name, msg)


def unpack_owner(packet: bytes) -> tuple[str, int]:
    """Return the owner's address from the packet in a FLAG_RECORDED datagram."""
    address = packet[-OWNER_ADDRESS_BYTES:]
    return socket.inet_ntoa(address[:-OWNER_PORT_BYTES]), int.from_bytes(
        address[-OWNER_PORT_BYTES:], "big"
    )


def _split_into_messages(records: list[FlowRecord]) -> list[tuple[FlowRecord, ...]]:
    """Split records into groups that fit in one message."""
    return [
        tuple(records[start : start + MAX_RECORDS_PER_MESSAGE])
        for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE)
    ]
