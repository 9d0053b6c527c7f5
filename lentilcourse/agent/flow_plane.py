"""The packet path of an agent: owns flows, finds owners, takes new flows.

A balancer sends each packet to the home of its bucket. The home owns the flow, or knows its
owner from the directory, or lets one of the candidates take it as new. The owner delivers to
the target and answers straight to the fabric. See docs/DESIGN.md, "Packets and flows".
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final

import attrs

from lentilcourse.agent.admission import (
    DECLINE_CAUSE,
    AdmissionView,
    Decline,
    cold_limit,
    decide_new_flow,
)
from lentilcourse.agent.completeness import Completeness
from lentilcourse.agent.delivery import OpenChannel
from lentilcourse.agent.flow_table import (
    FORMER_HOME_LIFE_S,
    PROVISIONAL_LIFE_S,
    Directory,
    DirectoryEntry,
    Flow,
    FlowTable,
)
from lentilcourse.agent.flow_view import FlowView, build_view, empty_view
from lentilcourse.agent.peers import AgentPeer, AgentPeers
from lentilcourse.agent.pulse import TargetPulse
from lentilcourse.agent.rate_window import RateWindow
from lentilcourse.agent.target import TargetMonitor
from lentilcourse.buckets import bucket_of
from lentilcourse.errors import PacketError, TargetFailedError
from lentilcourse.geneve import (
    FLAG_DECLINED,
    FLAG_HUNT,
    FLAG_OWNED,
    FLAG_OWNER,
    FLAG_PROBE,
    MAX_HOPS,
    PLAIN_HEADER,
    PacketLabel,
    decode_labelled,
    encode_label,
)
from lentilcourse.messages import (
    FlowLoad,
    FlowRecord,
    ForgetFlows,
    RecoveredFlows,
    Refusal,
    RegisterFlows,
    RegistrationComplete,
)
from lentilcourse.model import Entry, Limits, State
from lentilcourse.packets import (
    ICMP_CODE_HOST_UNREACHABLE,
    ICMP_CODE_PROHIBITED,
    PROTOCOL_TCP,
    TCP_FIN,
    TCP_RST,
    build_answer,
    build_first_bytes,
    build_refusal,
    build_reset,
    check_packet,
    flow_key,
    opens_flow,
    service_key_of,
    tcp_flags,
)
from lentilcourse.refusals import (
    RAN_NO,
    REASON_OWNER_LIMIT,
    Cause,
    RefusalCounts,
    describe,
    owner_refusal,
    system_refusal,
)

SendDatagram = Callable[[bytes, tuple[str, int]], None]
WatchFlow = Callable[[Flow], None]

MAX_RECORDS_PER_MESSAGE: Final = 2000


@attrs.define(kw_only=True)
class FlowCounts:
    """What the packet path has done since its start."""

    received: int = 0
    delivered: int = 0
    answered: int = 0
    forwarded: int = 0
    probes: int = 0
    malformed: int = 0
    wrong_service: int = 0
    domain_out: int = 0
    unknown_flow: int = 0
    no_owner: int = 0
    behind: int = 0
    recovering: int = 0
    accepted: int = 0
    declined: int = 0
    ended_idle: int = 0
    ended_closed: int = 0
    ended_domain_out: int = 0
    ended_target_gone: int = 0
    ended_entry_gone: int = 0
    recovered: int = 0
    owner_conflicts: int = 0


@attrs.define(kw_only=True)
class PeerLoad:
    """What a peer last said of its flows, and how many were sent there since."""

    flows: int = 0
    limit: int = 1
    sent_since: int = 0


class FlowPlane:
    """All flows of one agent; methods may be called from any task."""

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
        pulse: TargetPulse,
        rng: random.Random,
    ) -> None:
        self.counts = FlowCounts()
        self.flows = FlowTable()
        self.directory = Directory()
        self.stopping = False
        self.peers: AgentPeers | None = None
        self._name = name
        self._monitor = monitor
        self._open_channel = open_channel
        self._send = send
        self._watch = watch
        self._unwatch = unwatch
        self._fabric = fabric
        self._idle_s = idle_s
        self._refusals = refusals
        self._pulse = pulse
        self._rng = rng
        self._lock = threading.RLock()
        self._view = empty_view(name, 0)
        self._completeness = Completeness(connected=self._is_connected)
        self._started = RateWindow()
        self._loads: dict[str, PeerLoad] = {}
        self._to_recover: list[RecoveredFlows] = []

    # Datagrams.

    def on_datagram(self, datagram: bytes, source: tuple[str, int], now: float) -> None:
        """Carry one datagram of a balancer or another agent."""
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
        """Carry one answer of the target back to the fabric."""
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
            self._refuse(packet, self._system(Cause.TARGET_GONE, flow.entry_id))
            return
        self.counts.delivered += 1
        if packet[9] == PROTOCOL_TCP and tcp_flags(packet) & (TCP_RST | TCP_FIN):
            self._on_tcp_close(flow, packet)

    def _answer_probe(self, flow: Flow, source: tuple[str, int], now: float) -> None:
        """Tell the home that probes, which may be too new to be known here, who owns the flow."""
        label = PacketLabel(entry_id=flow.entry_id, version=self._view.version, flags=FLAG_OWNED)
        self._send(encode_label(label) + build_first_bytes(flow.key), source)
        self._register_with(self._view.by_address.get(source), [flow.record(now)])

    def _on_owned_elsewhere(
        self, key: bytes, label: PacketLabel, source: tuple[str, int], now: float
    ) -> None:
        owner = self._view.by_address.get(source)
        self._completeness.end_probe(key)
        known = self.directory.find(key, now)
        if owner is not None and (known is None or not known.registered):
            entry = DirectoryEntry(owner=owner, entry_id=label.entry_id, version=label.version)
            self.directory.put(key, entry)

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
            self._on_owned_elsewhere(key, label, source, now)
        elif label.flags & FLAG_DECLINED:
            self._on_declined(key, entry, label, packet, now)
        elif self._to_recover:
            self.counts.recovering += 1
        elif label.flags & FLAG_PROBE:
            self._on_probed(key, source, now)
        elif label.flags & FLAG_HUNT:
            self._on_hunted(key, entry, label, packet, source, now)
        elif label.flags & FLAG_OWNER:
            self._on_not_owner(key, packet, source)
        else:
            self._find_owner(key, entry, label, packet, now)

    def _on_probed(self, key: bytes, source: tuple[str, int], now: float) -> None:
        """Tell a home that has lost its memory if it is itself the owner that it looks for."""
        self.counts.unknown_flow += 1
        home = self._view.by_address.get(source)
        known = self.directory.find(key, now)
        target = self._view.peers.get(home) if home is not None else None
        if known is None or target is None or known.owner != home or not known.registered:
            return
        record = FlowRecord(
            key=key, entry_id=known.entry_id, local_port=known.local_port, idle_ms=0
        )
        self._send_peer(home, RecoveredFlows(incarnation=target.incarnation, flows=(record,)))

    def _on_not_owner(self, key: bytes, packet: bytes, source: tuple[str, int]) -> None:
        self.counts.unknown_flow += 1
        home = self._view.by_address.get(source)
        self._send_peer(home, ForgetFlows(owner=self._name, keys=(key,)))
        if packet[9] == PROTOCOL_TCP:
            self._send(PLAIN_HEADER + build_reset(packet), self._fabric)

    # Home.

    def _find_owner(
        self, key: bytes, entry: Entry, label: PacketLabel, packet: bytes, now: float
    ) -> None:
        view = self._view
        known = self.directory.find(key, now)
        if known is not None:
            self._forward_to_owner(key, known, entry, label, packet, now)
            return
        bucket = bucket_of(key)
        home = view.table.home(bucket)
        if home != self._name:
            self._pass_on(home, entry, label, packet, 0)
            return
        waiting = self._completeness.unconfirmed(view, bucket, now)
        if waiting and not self._completeness.probe_answered_late(key, now):
            self._probe(waiting, entry, label, packet)
            return
        self._completeness.end_probe(key)
        if not opens_flow(packet):
            self.counts.unknown_flow += 1
            self._send(PLAIN_HEADER + build_reset(packet), self._fabric)
            return
        self._hunt(key, entry, packet, DirectoryEntry(owner="", entry_id=entry.entry_id), now)

    def _forward_to_owner(
        self,
        key: bytes,
        known: DirectoryEntry,
        entry: Entry,
        label: PacketLabel,
        packet: bytes,
        now: float,
    ) -> None:
        view = self._view
        if known.owner in view.out:
            self.directory.remove(key)
            self.counts.ended_domain_out += 1
            self._refuse(packet, self._system(Cause.DOMAIN_OUT, entry.entry_id))
            return
        gone = known.owner not in view.peers
        if gone and known.version > view.version:
            self.counts.behind += 1
            return
        if gone or self._completeness.presumed_dead(known.owner, now):
            self.directory.remove(key)
            self.counts.ended_target_gone += 1
            self._refuse(packet, self._system(Cause.TARGET_GONE, entry.entry_id))
            return
        flags = FLAG_OWNER if known.registered else FLAG_HUNT
        self._pass_on(known.owner, entry, label, packet, flags)

    def _pass_on(
        self, name: str | None, entry: Entry, label: PacketLabel, packet: bytes, flags: int
    ) -> None:
        target = self._view.peers.get(name) if name is not None else None
        if target is None or label.hops >= MAX_HOPS:
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
        self._send(header + packet, target.data_address.pair())

    def _probe(self, names: list[str], entry: Entry, label: PacketLabel, packet: bytes) -> None:
        for name in names:
            self.counts.probes += 1
            self._pass_on(name, entry, label, packet, FLAG_PROBE)

    # New flows.

    def _hunt(
        self, key: bytes, entry: Entry, packet: bytes, asked: DirectoryEntry, now: float
    ) -> None:
        """Offer a new flow to the candidates not asked yet, until one is to decide."""
        candidates = self._view.hunt_candidates(bucket_of(key))
        for name in self._ranked([each for each in candidates if each not in asked.tried], now):
            asked = attrs.evolve(asked, owner=name, tried=(*asked.tried, name))
            if name != self._name:
                asked.expires = now + PROVISIONAL_LIFE_S
                self.directory.put(key, asked)
                self._loads.setdefault(name, PeerLoad()).sent_since += 1
                self._pass_on(name, entry, _FIRST_HOP, packet, FLAG_HUNT)
                return
            decline = self._accept_or_decline(key, entry, packet, now)
            if decline is Decline.NONE:
                self.directory.remove(key)
                return
            asked.declines = (*asked.declines, int(decline))
        self.directory.remove(key)
        self._refuse(packet, self._refusal_for(entry, asked.declines))

    def _on_hunted(
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
                self._register_with(self._view.by_address.get(source), [flow.record(now)])
            return
        label = PacketLabel(
            entry_id=entry.entry_id,
            version=self._view.version,
            flags=FLAG_DECLINED,
            decline=int(decline),
        )
        self._send(encode_label(label) + packet, source)

    def _on_declined(
        self, key: bytes, entry: Entry, label: PacketLabel, packet: bytes, now: float
    ) -> None:
        known = self.directory.find(key, now)
        if known is None or known.registered:
            return
        known.declines = (*known.declines, label.decline)
        self._hunt(key, entry, packet, known, now)

    def _accept_or_decline(self, key: bytes, entry: Entry, packet: bytes, now: float) -> Decline:
        decline = decide_new_flow(self._admission_view(entry, now), now)
        if decline is not Decline.NONE:
            self.counts.declined += 1
            return decline
        if not self._own(
            FlowRecord(key=key, entry_id=entry.entry_id, local_port=0, idle_ms=0), now
        ):
            return Decline.TARGET_GONE
        self.counts.accepted += 1
        self._started.add(entry.entry_id, now)
        flow = self.flows.get(key)
        assert flow is not None
        self._register_with(self._view.recorder(bucket_of(key)), [flow.record(now)])
        try:
            flow.channel.send(packet)
        except TargetFailedError:
            self._end(flow)
            return Decline.TARGET_GONE
        self.counts.delivered += 1
        return Decline.NONE

    def _own(self, record: FlowRecord, now: float) -> bool:
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
        last = self._monitor.last
        limits = entry.limits
        share = self._view.shares.get(entry.entry_id, Limits())
        started = self._started.count(entry.entry_id, now)
        return AdmissionView(
            health=self._monitor.health,
            draining=self._view.draining,
            domain_out=self._view.domain_out,
            stopping=self.stopping,
            open_flows=len(self.flows),
            connections=last.connections if last else 0,
            cold_since=self._pulse.cold_since,
            entry_flows=self.flows.count_of(entry.entry_id),
            open_share=share.open_flows if limits.open_flows else None,
            rate_left=share.new_flows_per_s - started if limits.new_flows_per_s else None,
        )

    def usage(self, now: float) -> dict[int, Limits]:
        """Return what is used of the limits of each limited entry, by entry id."""
        with self._lock:
            return {
                entry.entry_id: Limits(
                    open_flows=self.flows.count_of(entry.entry_id),
                    new_flows_per_s=self._started.count(entry.entry_id, now),
                )
                for entry in self._view.entries.values()
                if entry.limits != Limits()
            }

    def _ranked(self, names: list[str], now: float) -> list[str]:
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
            return len(self.flows) / max(1, self._flow_limit(now))
        load = self._loads.get(name)
        if load is None:
            return 0.0
        return (load.flows + load.sent_since) / max(1, load.limit)

    def _flow_limit(self, now: float) -> int:
        last = self._monitor.last
        return cold_limit(last.connections, self._pulse.cold_since, now) if last else 0

    # Refusals.

    def _refusal_for(self, entry: Entry, declines: tuple[int, ...]) -> Refusal:
        reasons = [Decline(each) for each in declines]
        for limit, name in (
            (Decline.OPEN_FLOWS, "open_flows"),
            (Decline.NEW_FLOWS, "new_flows_per_s"),
        ):
            if reasons and all(reason is limit for reason in reasons):
                return owner_refusal(entry, name, getattr(entry.limits, name))
        causes = [DECLINE_CAUSE[reason] for reason in reasons if reason in DECLINE_CAUSE]
        return system_refusal(causes[-1] if causes else Cause.NO_TARGET, RAN_NO, entry.name)

    def _system(self, cause: Cause, entry_id: int) -> Refusal:
        entry = self._view.entries.get(entry_id)
        return system_refusal(cause, RAN_NO, entry.name if entry else "")

    def _refuse(self, packet: bytes, refusal: Refusal) -> None:
        self._refusals.add(refusal)
        owner = refusal.reason == REASON_OWNER_LIMIT
        code = ICMP_CODE_PROHIBITED if owner else ICMP_CODE_HOST_UNREACHABLE
        answer = build_refusal(packet, code, f"{describe(refusal)} [{refusal.refusal_id}]")
        self._send(PLAIN_HEADER + answer, self._fabric)
        if packet[9] == PROTOCOL_TCP:
            self._send(PLAIN_HEADER + build_reset(packet), self._fabric)

    # State and time.

    def on_state(self, state: State, now: float) -> None:
        """Put a new state in force: end what it forbids, register what has moved."""
        with self._lock:
            old, self._view = self._view, build_view(state, self._name)
            new = self._view
            if self.peers is not None and new.own is not None:
                self.peers.on_state(state, new.own.service)
            self._completeness.on_view(old, new, now)
            self._recover(now)
            self._end_forbidden(old, new, now)
            self._forget_former_runs(old, new)
            self._keep_or_expire_directory(new, now)
            self._register_moved(old, new, now)

    def on_tick(self, now: float) -> None:
        """End idle flows, drop void records and tell the peers the own load."""
        with self._lock:
            for flow in self.flows:
                if now - flow.last_seen > self._idle_s:
                    self._end(flow)
                    self.counts.ended_idle += 1
            self._recover(now)
            self.directory.expire(now)
            self._completeness.expire(now)
            load = FlowLoad(owner=self._name, flows=len(self.flows), limit=self._flow_limit(now))
            if self.peers is not None:
                self.peers.broadcast(load)

    def _end_forbidden(self, old: FlowView, new: FlowView, now: float) -> None:
        restarted = (
            old.own is not None and new.own is not None and (old.own.target_id != new.own.target_id)
        )
        joined = old.own is None and new.own is not None
        if joined or restarted or (old.domain_out and not new.domain_out):
            self._pulse.start_cold(now)
        for flow in self.flows:
            if new.domain_out:
                self._give_up(flow)
            elif restarted:
                self._end(flow)
                self.counts.ended_target_gone += 1
            elif flow.entry_id not in new.entries and new.own is not None:
                self._end(flow)
                self.counts.ended_entry_gone += 1

    def _give_up(self, flow: Flow) -> None:
        """End a flow of a failure domain that is out and tell its caller at once.

        Its home keeps the record and refuses a packet that comes later, so that the caller
        learns why even if this message is lost.
        """
        self._unwatch(flow)
        self.flows.remove(flow)
        flow.channel.close()
        self.counts.ended_domain_out += 1
        packet = build_first_bytes(flow.key)
        self._refuse(packet, self._system(Cause.DOMAIN_OUT, flow.entry_id))

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
        for flow in self.flows:
            bucket = bucket_of(flow.key)
            recorder = new.recorder(bucket)
            if recorder is not None and recorder != old.recorder(bucket):
                moved.setdefault(recorder, []).append(flow.record(now))
        for name, records in moved.items():
            self._register_with(name, records)
        if self.peers is not None:
            self.peers.broadcast(RegistrationComplete(owner=self._name, version=new.version))

    def _end(self, flow: Flow) -> None:
        self._unwatch(flow)
        self.flows.remove(flow)
        flow.channel.close()
        recorder = self._view.recorder(bucket_of(flow.key))
        self._send_peer(recorder, ForgetFlows(owner=self._name, keys=(flow.key,)))

    # Messages of other agents.

    def greet(self, peer: AgentPeer, now: float) -> None:
        """Register everything with a peer to which a stream was just opened."""
        with self._lock:
            view = self._view
            records = [
                flow.record(now)
                for flow in self.flows
                if view.recorder(bucket_of(flow.key)) == peer.target.name
            ]
            for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
                part = tuple(records[start : start + MAX_RECORDS_PER_MESSAGE])
                peer.send(RegisterFlows(owner=self._name, version=view.version, flows=part))
            for recorded in self._recorded_for(peer.target.name):
                peer.send(recorded)
            peer.send(RegistrationComplete(owner=self._name, version=view.version))

    def _recorded_for(self, owner: str) -> list[RecoveredFlows]:
        target = self._view.peers.get(owner)
        if target is None:
            return []
        flows = self.directory.flows_of(owner)
        return [
            RecoveredFlows(
                incarnation=target.incarnation,
                flows=tuple(flows[start : start + MAX_RECORDS_PER_MESSAGE]),
            )
            for start in range(0, len(flows), MAX_RECORDS_PER_MESSAGE)
        ]

    def on_peer_lost(self, name: str) -> None:
        """Note that the incoming stream of a peer has ended."""
        with self._lock:
            self._completeness.revoke(name)

    @singledispatchmethod
    def on_message(self, msg: object, peer: str, now: float) -> None:
        """Take one message of another agent."""

    @on_message.register
    def _on_register(self, msg: RegisterFlows, peer: str, now: float) -> None:
        with self._lock:
            for record in msg.flows:
                self._completeness.end_probe(record.key)
                if self.flows.get(record.key) is not None:
                    self.counts.owner_conflicts += 1
                    continue
                self.directory.put(
                    record.key,
                    DirectoryEntry(
                        owner=peer,
                        entry_id=record.entry_id,
                        local_port=record.local_port,
                        version=msg.version,
                    ),
                )

    @on_message.register
    def _on_forget(self, msg: ForgetFlows, peer: str, now: float) -> None:
        with self._lock:
            for key in msg.keys:
                self.directory.forget(key, peer)

    @on_message.register
    def _on_complete(self, msg: RegistrationComplete, peer: str, now: float) -> None:
        with self._lock:
            self._completeness.confirm(peer, msg.version)

    @on_message.register
    def _on_load(self, msg: FlowLoad, peer: str, now: float) -> None:
        with self._lock:
            self._loads[peer] = PeerLoad(flows=msg.flows, limit=msg.limit)

    @on_message.register
    def _on_recovered(self, msg: RecoveredFlows, peer: str, now: float) -> None:
        with self._lock:
            self._to_recover.append(msg)
            self._recover(now)

    def _recover(self, now: float) -> None:
        """Own recorded flows again, once state and target are known here."""
        last = self._monitor.last
        if self._view.own is None or last is None:
            return
        waiting, self._to_recover = self._to_recover, []
        for msg in waiting:
            if msg.incarnation == last.incarnation:
                for record in msg.flows:
                    self._recover_flow(record, now)

    def _recover_flow(self, record: FlowRecord, now: float) -> None:
        known = record.entry_id in self._view.entries and not self._view.domain_out
        if known and self.flows.get(record.key) is None and self._own(record, now):
            self.counts.recovered += 1

    def _is_connected(self, name: str) -> bool:
        return self.peers is not None and self.peers.is_connected(name)

    def _register_with(self, name: str | None, records: list[FlowRecord]) -> None:
        version = self._view.version
        self._send_peer(
            name, RegisterFlows(owner=self._name, version=version, flows=tuple(records))
        )

    def _send_peer(self, name: str | None, msg: object) -> None:
        if name is not None and self.peers is not None:
            self.peers.send(name, msg)


_FIRST_HOP: Final = PacketLabel(entry_id=0, version=0)
