"""The packet path of an agent: delivers owned flows, looks up owners and admits new flows.

A balancer sends each packet to the home agent of the flow's bucket. The home either owns the
flow itself, forwards the packet to the owner listed in its flow directory, or offers the flow to
the bucket's candidates as a new one. The owner delivers packets to its target and sends the
target's answers directly to the fabric. See docs/DESIGN.md, "Packets and flows".
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from typing import Final

import attrs

from lentilcourse.agent.admission import (
    AdmissionView,
    Decline,
    cold_limit,
    decide_new_flow,
)
from lentilcourse.agent.cold_detection import ColdDetector
from lentilcourse.agent.delivery import OpenChannel
from lentilcourse.agent.flow_balance import FlowBalance
from lentilcourse.agent.flow_counts import FlowCounts
from lentilcourse.agent.flow_peering import FlowPeering, unpack_owner
from lentilcourse.agent.flow_refusals import refusal_datagrams, refusal_of_declines
from lentilcourse.agent.flow_table import (
    OFFER_TIMEOUT_S,
    DirectoryEntry,
    Flow,
    FlowTable,
)
from lentilcourse.agent.flow_view import FlowView, build_view, empty_view
from lentilcourse.agent.peers import AgentPeer, AgentPeers
from lentilcourse.agent.probe_buffer import ProbeBuffer
from lentilcourse.agent.rate_window import RateWindow
from lentilcourse.agent.target import TargetMonitor
from lentilcourse.buckets import bucket_of
from lentilcourse.errors import PacketError, TargetFailedError
from lentilcourse.geneve import (
    FLAG_DECLINED,
    FLAG_OFFER,
    FLAG_OWNED,
    FLAG_OWNER,
    FLAG_PROBE,
    FLAG_RECORDED,
    MAX_HOPS,
    PLAIN_HEADER,
    PacketLabel,
    decode_labelled,
    encode_label,
)
from lentilcourse.messages.flows import FlowRecord, ForgetFlows
from lentilcourse.messages.requests import Refusal
from lentilcourse.model import Entry, Limits, State
from lentilcourse.packets import (
    PROTOCOL_TCP,
    TCP_FIN,
    TCP_RST,
    build_answer,
    build_first_bytes,
    build_reset,
    check_packet,
    flow_key,
    opens_flow,
    service_key_of,
    tcp_flags,
)
from lentilcourse.refusals import (
    RAN_NO,
    Cause,
    RefusalCounts,
    system_refusal,
)

SendDatagram = Callable[[bytes, tuple[str, int]], None]
WatchFlow = Callable[[Flow], None]


class FlowPlane:
    """Packet path of one agent; its methods are thread-safe."""

    def __init__(
        self,
        *,
        name: str,
        monitor: TargetMonitor,
        open_channel: OpenChannel,
        send: SendDatagram,
        watch: WatchFlow,
        unwatch: WatchFlow,
        fabric: tuple[str, int],
        idle_s: float,
        refusals: RefusalCounts,
        cold_detector: ColdDetector,
        rng: random.Random,
    ) -> None:
        self.counts = FlowCounts()
        self.flows = FlowTable()
        self.stopping = False
        self._name = name
        self._monitor = monitor
        self._open_channel = open_channel
        self._send = send
        self._watch = watch
        self._unwatch = unwatch
        self._fabric = fabric
        self._idle_s = idle_s
        self._refusals = refusals
        self._cold_detector = cold_detector
        self._lock = threading.RLock()
        self._view = empty_view(name, 0)
        self._new_flow_times = RateWindow()
        self._buffer = ProbeBuffer()
        self._balance = FlowBalance(
            name=name, own_flows=self.flows.__len__, own_limit=self._flow_limit, rng=rng
        )
        self._peering = FlowPeering(
            name=name,
            flows=self.flows,
            counts=self.counts,
            monitor=monitor,
            balance=self._balance,
            take_ownership=self._take_ownership,
            on_owner_recorded=self._send_buffered,
        )
        self.directory = self._peering.directory
        self._completeness = self._peering.completeness

    @property
    def peers(self) -> AgentPeers | None:
        """Streams to the other agents of the service; None until they are set up."""
        return self._peering.peers

    @peers.setter
    def peers(self, peers: AgentPeers) -> None:
        self._peering.peers = peers

    # Received datagrams.

    def on_datagram(self, datagram: bytes, source: tuple[str, int], now: float) -> None:
        """Process one datagram received from a balancer or another agent."""
        self.counts.received += 1
        try:
            label, packet = decode_labelled(datagram)
            check_packet(packet)
        except PacketError:
            self.counts.malformed += 1
            return
        key = flow_key(packet)
        with self._lock:
            flow = self.flows.get(key)
            if flow is not None and flow.entry_id == label.entry_id:
                self._on_owned(flow, label, packet, source, now)
            else:
                self._on_unowned(key, label, packet, source, now)

    def on_channel_readable(self, descriptor: int, now: float) -> None:
        """Read one answer from the target and send it to the fabric."""
        with self._lock:
            flow = self.flows.by_descriptor(descriptor)
            if flow is None:
                return
            try:
                payload = flow.channel.receive()
            except TargetFailedError:
                self._end(flow)
                self.counts.ended_target_gone += 1
                return
            if payload is None:
                return
            flow.last_seen = now
            self.counts.answered += 1
            self._send(PLAIN_HEADER + build_answer(flow.key, payload), self._fabric)

    def _on_owned(
        self, flow: Flow, label: PacketLabel, packet: bytes, source: tuple[str, int], now: float
    ) -> None:
        flow.last_seen = now
        if label.flags & FLAG_PROBE:
            self._answer_probe(flow, source, now)
        try:
            flow.channel.send(packet)
        except TargetFailedError:
            self._end(flow)
            self.counts.ended_target_gone += 1
            self._refuse(packet, self._system_refusal(Cause.TARGET_GONE, flow.entry_id))
            return
        self.counts.delivered += 1
        if packet[9] == PROTOCOL_TCP and tcp_flags(packet) & (TCP_RST | TCP_FIN):
            self._on_tcp_close(flow, packet)

    def _answer_probe(self, flow: Flow, source: tuple[str, int], now: float) -> None:
        """Tell the probing home that this agent owns the flow.

        The answer goes to the probe's source address, because the home may have joined in a
        state version that this agent has not received yet.
        """
        self._announce_ownership(flow, source)
        self._peering.register_with(self._view.by_address.get(source), [flow.record(now)])

    def _announce_ownership(self, flow: Flow, agent: tuple[str, int]) -> None:
        """Tell another agent by datagram that this agent owns a flow."""
        label = PacketLabel(
            entry_id=flow.entry_id,
            version=self._view.version,
            flags=FLAG_OWNED,
            detail=flow.channel.local_port,
        )
        self._send(encode_label(label) + build_first_bytes(flow.key), agent)

    def _announce_to_recorder(self, flow: Flow) -> None:
        """Tell the recorder of a new flow that this agent owns it.

        The registration follows by stream, from another task: it would be lost if this agent were
        killed right after the flow's first packet was delivered.
        """
        recorder = self._view.recorder(bucket_of(flow.key))
        if recorder is not None:
            self._announce_ownership(flow, self._view.peers[recorder].data_address.pair())

    def _on_tcp_close(self, flow: Flow, packet: bytes) -> None:
        flow.fins |= 1
        if tcp_flags(packet) & TCP_RST:
            self._end(flow)
            self.counts.ended_closed += 1

    def _on_unowned(
        self, key: bytes, label: PacketLabel, packet: bytes, source: tuple[str, int], now: float
    ) -> None:
        view = self._view
        entry = view.entries.get(label.entry_id)
        if entry is None or view.service_keys[label.entry_id] != service_key_of(key):
            self.counts.wrong_service += 1
        elif view.domain_out:
            self.counts.domain_out += 1
        elif label.flags & FLAG_OWNED:
            self._peering.on_ownership_announced(key, label, source, now)
        elif label.flags & FLAG_RECORDED:
            owner = unpack_owner(packet)
            self._peering.on_ownership_announced(key, label, owner, now)
        elif label.flags & FLAG_DECLINED:
            self._on_declined(key, entry, label, packet, now)
        elif self._peering.to_recover:
            self.counts.recovering += 1
        elif label.flags & FLAG_PROBE:
            self.counts.unknown_flow += 1
            recorded = self._peering.on_probe(key, source, now)
            if recorded is not None:
                self._send(recorded, source)
        elif label.flags & FLAG_OFFER:
            self._on_offer(key, entry, label, packet, source, now)
        elif label.flags & FLAG_OWNER:
            self._on_not_owner(key, packet, source)
        else:
            self._find_owner(key, entry, label, packet, now)

    def _on_not_owner(self, key: bytes, packet: bytes, source: tuple[str, int]) -> None:
        """Tell a home that its directory entry is stale, unless this agent may have lost the flow.

        After a restart, the home's entry may be the only remaining record of the flow until the
        home has sent all records that it holds for this agent.
        """
        home = self._view.by_address.get(source)
        if not self._completeness.has_sent_records(home):
            self.counts.recovering += 1
            return
        self.counts.unknown_flow += 1
        self._peering.send(home, ForgetFlows(owner=self._name, keys=(key,)))
        if packet[9] == PROTOCOL_TCP:
            self._send(PLAIN_HEADER + build_reset(packet), self._fabric)

    # Forwarding by the home of a bucket.

    def _find_owner(
        self, key: bytes, entry: Entry, label: PacketLabel, packet: bytes, now: float
    ) -> None:
        view = self._view
        directory_entry = self.directory.find(key, now)
        if directory_entry is not None:
            self._forward_to_owner(key, directory_entry, entry, label, packet, now)
            return
        bucket = bucket_of(key)
        home = view.table.home(bucket)
        if home != self._name:
            self._forward(home, entry, label, packet, 0)
            return
        unconfirmed_peers = self._completeness.unconfirmed_peers(view, bucket, now)
        if unconfirmed_peers and not self._completeness.probe_timed_out(key, now):
            self._probe_or_buffer(key, entry, label, packet, now)
            return
        self._completeness.end_probe(key)
        if not opens_flow(packet):
            self.counts.unknown_flow += 1
            self._send(PLAIN_HEADER + build_reset(packet), self._fabric)
            return
        self._offer_new_flow(
            key, entry, packet, DirectoryEntry(owner="", entry_id=entry.entry_id), now
        )

    def _forward_to_owner(
        self,
        key: bytes,
        directory_entry: DirectoryEntry,
        entry: Entry,
        label: PacketLabel,
        packet: bytes,
        now: float,
    ) -> None:
        view = self._view
        if directory_entry.owner in view.out:
            self.directory.remove(key)
            self.counts.ended_domain_out += 1
            self._refuse(packet, self._system_refusal(Cause.DOMAIN_OUT, entry.entry_id))
            return
        owner_removed = directory_entry.owner not in view.peers
        if owner_removed and directory_entry.version > view.version:
            self.counts.behind += 1
            return
        silent = self._completeness.presumed_dead(directory_entry.owner, now)
        if owner_removed or (silent and self._completeness.probe_timed_out(key, now)):
            self._completeness.end_probe(key)
            self.directory.remove(key)
            self.counts.ended_target_gone += 1
            self._refuse(packet, self._system_refusal(Cause.TARGET_GONE, entry.entry_id))
            return
        flags = FLAG_OWNER if directory_entry.registered else FLAG_OFFER
        if silent and self._completeness.probe_due(key, now):
            flags |= FLAG_PROBE
        self._forward(directory_entry.owner, entry, label, packet, flags)

    def _forward(
        self, peer_name: str | None, entry: Entry, label: PacketLabel, packet: bytes, flags: int
    ) -> None:
        peer = self._view.peers.get(peer_name) if peer_name is not None else None
        if peer is None or label.hops >= MAX_HOPS:
            self.counts.no_owner += 1
            return
        self.counts.forwarded += 1
        header = encode_label(
            PacketLabel(
                entry_id=entry.entry_id,
                version=self._view.version,
                hops=label.hops + 1,
                flags=flags,
            )
        )
        self._send(header + packet, peer.data_address.pair())

    def _probe_or_buffer(
        self, key: bytes, entry: Entry, label: PacketLabel, packet: bytes, now: float
    ) -> None:
        if self._completeness.probe_due(key, now):
            self._probe(entry, label, packet)
        elif not self._buffer.add(key, label, packet, now):
            self.counts.unbuffered += 1

    def _send_buffered(self, key: bytes, now: float) -> None:
        """Send the packets that were buffered during a probe on to the owner that was found."""
        for buffered in self._buffer.take(key, now):
            entry = self._view.entries.get(buffered.label.entry_id)
            if entry is not None:
                self._find_owner(key, entry, buffered.label, buffered.packet, now)

    def _probe(self, entry: Entry, label: PacketLabel, packet: bytes) -> None:
        """Send the packet to all peers as a probe for the flow's owner.

        The owner itself may be down, in which case any other peer may have a record of the flow.
        """
        for name in self._view.peers:
            self.counts.probes += 1
            self._forward(name, entry, label, packet, FLAG_PROBE)

    # New flows.

    def _offer_new_flow(
        self, key: bytes, entry: Entry, packet: bytes, offer: DirectoryEntry, now: float
    ) -> None:
        """Offer a new flow to the next candidate that has not declined it.

        An offer to a peer is sent as a packet and answered later. An offer to this agent itself is
        decided at once; if it declines, the next candidate follows.
        """
        candidates = self._view.new_flow_candidates(bucket_of(key))
        for name in self._balance.ranked(
            [candidate for candidate in candidates if candidate not in offer.tried], now
        ):
            offer = attrs.evolve(offer, owner=name, tried=(*offer.tried, name))
            if name != self._name:
                offer.expires = now + OFFER_TIMEOUT_S
                self.directory.put(key, offer)
                self._balance.count_offer(name)
                self._forward(name, entry, _FIRST_HOP, packet, FLAG_OFFER)
                return
            decline = self._accept_or_decline(key, entry, packet, now)
            if decline is Decline.NONE:
                self.directory.remove(key)
                return
            offer.declines = (*offer.declines, int(decline))
        self.directory.remove(key)
        self._refuse(packet, refusal_of_declines(entry, offer.declines))

    def _on_offer(
        self,
        key: bytes,
        entry: Entry,
        label: PacketLabel,
        packet: bytes,
        source: tuple[str, int],
        now: float,
    ) -> None:
        home = self._view.table.home(bucket_of(key))
        if label.version < self._view.version and self._view.by_address.get(source) != home:
            self._find_owner(key, entry, label, packet, now)
            return
        decline = self._accept_or_decline(key, entry, packet, now)
        if decline is Decline.NONE:
            flow = self.flows.get(key)
            if flow is not None:
                self._peering.register_with(self._view.by_address.get(source), [flow.record(now)])
            return
        label = PacketLabel(
            entry_id=entry.entry_id,
            version=self._view.version,
            flags=FLAG_DECLINED,
            detail=int(decline),
        )
        self._send(encode_label(label) + packet, source)

    def _on_declined(
        self, key: bytes, entry: Entry, label: PacketLabel, packet: bytes, now: float
    ) -> None:
        directory_entry = self.directory.find(key, now)
        if directory_entry is None or directory_entry.registered:
            return
        directory_entry.declines = (*directory_entry.declines, label.detail)
        self._offer_new_flow(key, entry, packet, directory_entry, now)

    def _accept_or_decline(self, key: bytes, entry: Entry, packet: bytes, now: float) -> Decline:
        decline = decide_new_flow(self._admission_view(entry, now), now)
        if decline is not Decline.NONE:
            self.counts.declined += 1
            return decline
        if not self._take_ownership(
            FlowRecord(key=key, entry_id=entry.entry_id, local_port=0, idle_ms=0), now
        ):
            return Decline.TARGET_GONE
        self.counts.accepted += 1
        self._new_flow_times.add(entry.entry_id, now)
        flow = self.flows.get(key)
        assert flow is not None
        self._announce_to_recorder(flow)
        self._peering.register_with(self._view.recorder(bucket_of(key)), [flow.record(now)])
        try:
            flow.channel.send(packet)
        except TargetFailedError:
            self._end(flow)
            return Decline.TARGET_GONE
        self.counts.delivered += 1
        return Decline.NONE

    def _take_ownership(self, record: FlowRecord, now: float) -> bool:
        address = self._monitor.flow_address()
        if address is None:
            return False
        try:
            channel = self._open_channel(address, record.local_port)
        except TargetFailedError:
            return False
        flow = Flow(
            key=record.key,
            entry_id=record.entry_id,
            channel=channel,
            last_seen=now - record.idle_ms / 1000,
        )
        self.flows.add(flow)
        self.directory.remove(record.key)
        self._watch(flow)
        return True

    def _admission_view(self, entry: Entry, now: float) -> AdmissionView:
        announcement = self._monitor.last
        limits = entry.limits
        share = self._view.shares.get(entry.entry_id, Limits())
        new_flows = self._new_flow_times.count(entry.entry_id, now)
        return AdmissionView(
            health=self._monitor.health,
            draining=self._view.draining,
            domain_out=self._view.domain_out,
            stopping=self.stopping,
            open_flows=len(self.flows),
            connections=announcement.connections if announcement else 0,
            cold_since=self._cold_detector.cold_since,
            entry_flows=self.flows.count_of(entry.entry_id),
            open_share=share.open_flows if limits.open_flows else None,
            rate_left=share.new_flows_per_s - new_flows if limits.new_flows_per_s else None,
        )

    def _flow_limit(self, now: float) -> int:
        announcement = self._monitor.last
        return (
            cold_limit(announcement.connections, self._cold_detector.cold_since, now)
            if announcement
            else 0
        )

    def usage(self, now: float) -> dict[int, Limits]:
        """Return the current usage of each entry that has limits, by entry id."""
        with self._lock:
            return {
                entry.entry_id: Limits(
                    open_flows=self.flows.count_of(entry.entry_id),
                    new_flows_per_s=self._new_flow_times.count(entry.entry_id, now),
                )
                for entry in self._view.entries.values()
                if entry.limits != Limits()
            }

    # Refusals.

    def _system_refusal(self, cause: Cause, entry_id: int) -> Refusal:
        entry = self._view.entries.get(entry_id)
        return system_refusal(cause, RAN_NO, entry.name if entry else "")

    def _refuse(self, packet: bytes, refusal: Refusal) -> None:
        self._refusals.add(refusal)
        for datagram in refusal_datagrams(packet, refusal):
            self._send(datagram, self._fabric)

    # State versions and timers.

    def on_state(self, state: State, now: float) -> None:
        """Apply a new state: end flows that it rules out, register flows whose recorder changed."""
        with self._lock:
            old, new = self._view, build_view(state, self._name)
            self._view = self._peering.view = new
            if self.peers is not None and new.own is not None:
                self.peers.on_state(state, new.own.service)
            self._completeness.on_view(old, new, now)
            self._peering.recover(now)
            self._end_disallowed_flows(old, new, now)
            self._peering.on_view(old, new, now)

    def on_tick(self, now: float) -> None:
        """End idle flows, drop expired records and broadcast this agent's load to its peers."""
        with self._lock:
            for flow in self.flows:
                if now - flow.last_seen > self._idle_s:
                    self._end(flow)
                    self.counts.ended_idle += 1
            self._peering.recover(now)
            self.directory.expire(now)
            self._completeness.expire(now)
            self._buffer.expire(now)
            if self.peers is not None:
                self.peers.broadcast(self._balance.own_load(now))

    def _end_disallowed_flows(self, old: FlowView, new: FlowView, now: float) -> None:
        restarted = (
            old.own is not None and new.own is not None and (old.own.target_id != new.own.target_id)
        )
        joined = old.own is None and new.own is not None
        if joined or restarted or (old.domain_out and not new.domain_out):
            self._cold_detector.start_cold(now)
        for flow in self.flows:
            if new.domain_out:
                self._end_domain_out(flow)
            elif restarted:
                self._end(flow)
                self.counts.ended_target_gone += 1
            elif flow.entry_id not in new.entries and new.own is not None:
                self._end(flow)
                self.counts.ended_entry_gone += 1

    def _end_domain_out(self, flow: Flow) -> None:
        """End a flow because the failure domain is out, and send its caller a refusal at once.

        The flow's home keeps its directory entry and refuses later packets of the flow, so that
        the caller gets the reason even if this refusal is lost.
        """
        self._unwatch(flow)
        self.flows.remove(flow)
        flow.channel.close()
        self.counts.ended_domain_out += 1
        packet = build_first_bytes(flow.key)
        self._refuse(packet, self._system_refusal(Cause.DOMAIN_OUT, flow.entry_id))

    def _end(self, flow: Flow) -> None:
        self._unwatch(flow)
        self.flows.remove(flow)
        flow.channel.close()
        self._peering.forget(flow.key)

    # Streams and messages of other agents.

    def greet(self, peer: AgentPeer, now: float) -> None:
        """Send a peer its initial messages after a stream to it was opened."""
        with self._lock:
            self._peering.on_peer_connected(peer, now)

    def on_peer_lost(self, name: str) -> None:
        """Handle the end of the incoming stream from a peer."""
        with self._lock:
            self._peering.on_peer_lost(name)

    def on_message(self, msg: object, peer: str, now: float) -> None:
        """Process one message from another agent."""
        with self._lock:
            self._completeness.note_heard(peer, now)
            self._peering.on_message(msg, peer, now)


_FIRST_HOP: Final = PacketLabel(entry_id=0, version=0)
