"""Stand-in of the fabric with callers' flows.

Each packet of a caller goes to a balancer chosen at random. Answers of agents come back to
the fabric's socket and are handed to the flow that they belong to.
"""

from __future__ import annotations

import random
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs

from lentilcourse.errors import PacketError
from lentilcourse.geneve import PLAIN_HEADER, decode_plain
from lentilcourse.packets import (
    PROTOCOL_ICMP,
    PROTOCOL_UDP,
    build_udp,
    parse_host,
    read_refusal,
    read_udp,
)

MAX_DATAGRAM_BYTES: Final = 65535
SOCKET_BUFFER_BYTES: Final = 8 * 1024 * 1024
RETRANSMIT_S: Final = 0.25
BROKEN_AFTER_S: Final = 6.0
POLL_S: Final = 0.2


@attrs.define(kw_only=True, eq=False)
class CallerFlow:
    """One long flow of a caller that expects an echo of each message.

    Attributes:
        key: flow key as the caller sends it.
        owner: identity of the target's run that answered first.
        sent: messages sent, each with a number.
        answered: number of the last message answered.
        waiting_since: when the unanswered message was first sent; None if there is none.
        state: "opening", "open", "refused", "broken" or "domain-out".
        reason: why it ended.
    """

    key: bytes
    owner: bytes = b""
    sent: int = 0
    answered: int = 0
    waiting_since: float | None = None
    last_send: float = 0.0
    state: str = "opening"
    reason: str = ""
    longest_wait_s: float = 0.0

    @property
    def owner_name(self) -> str:
        """Name of the target that answered first; empty before."""
        return target_of(self.owner)


def target_of(owner: bytes) -> str:
    """Return the target's name in the identity that its answers carry, SERVICE|NAME|RUN|PORT."""
    return owner.split(b"|")[1].decode() if owner else ""


@attrs.define(kw_only=True)
class FabricCounts:
    """What callers have seen."""

    opened: int = 0
    refused: int = 0
    broken: int = 0
    broken_domain_out: int = 0
    retransmitted: int = 0
    strange: int = 0


class Fabric:
    """The fabric's socket, and the flows of its callers.

    Attributes:
        balancers: packet addresses of the balancers.
        flows: all flows that have not ended, by key.
        reasons: why flows were refused or broke.
        moved: flows that another target, or another run or port, has answered.
        loss: share of packets dropped between callers and balancers.
    """

    def __init__(self, *, address: str, balancers: list[tuple[str, int]], seed: int) -> None:
        host, _, port = address.partition(":")
        self.balancers = balancers
        self.flows: dict[bytes, CallerFlow] = {}
        self.counts = FabricCounts()
        self.reasons: Counter[str] = Counter()
        self.owners: Counter[str] = Counter()
        self.moved: list[tuple[str, bytes, bytes]] = []
        self.on_packet: Callable[[bytes], None] | None = None
        self._rng = random.Random(seed)
        self._lock = threading.RLock()
        self._stop = threading.Event()
        self._next_port = 1024
        self._next_host = 1
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        self._socket.bind((host, int(port)))
        self._socket.settimeout(POLL_S)
        self._threads = [threading.Thread(target=self._receive, daemon=True)]

    def start(self) -> None:
        """Start receiving answers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop and close the socket."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        self._socket.close()

    def open_flow(self, service: str, now: float) -> CallerFlow:
        """Open a flow to a service address, IP:PORT."""
        host, _, port = service.partition(":")
        with self._lock:
            source_port = self._next_port
            source = parse_host(f"10.9.{self._next_host >> 8}.{self._next_host & 0xFF}")
            self._next_port += 1
            if self._next_port > 65000:
                self._next_port, self._next_host = 1024, self._next_host + 1
            ports = source_port.to_bytes(2, "big") + int(port).to_bytes(2, "big")
            key = source + parse_host(host) + ports + bytes((PROTOCOL_UDP,))
            flow = CallerFlow(key=key)
            self.flows[key] = flow
            self.send_message(flow, now)
        return flow

    def send_message(self, flow: CallerFlow, now: float) -> None:
        """Send the next message of a flow, or repeat the unanswered one."""
        if flow.waiting_since is None:
            flow.sent += 1
            flow.waiting_since = now
        flow.last_send = now
        key = flow.key
        payload = str(flow.sent).encode()
        self.spray(build_udp(key[0:4], key[4:8], key[8:12], payload))

    def spray(self, packet: bytes) -> None:
        """Send one packet to a random balancer."""
        address = self._rng.choice(self.balancers)
        self._socket.sendto(PLAIN_HEADER + packet, address)

    def pace(self, interval_s: float, now: float) -> None:
        """Send what is due on all flows; a flow that waits too long is broken."""
        with self._lock:
            for flow in list(self.flows.values()):
                self._pace_flow(flow, interval_s, now)

    def open_count(self) -> int:
        """Return the number of open flows."""
        return sum(flow.state == "open" for flow in self.flows.values())

    def _pace_flow(self, flow: CallerFlow, interval_s: float, now: float) -> None:
        if flow.waiting_since is None:
            if now - flow.last_send >= interval_s:
                self.send_message(flow, now)
            return
        if now - flow.waiting_since > BROKEN_AFTER_S:
            self._end(flow, "broken", "silent")
        elif now - flow.last_send >= RETRANSMIT_S:
            self.counts.retransmitted += 1
            self.send_message(flow, now)

    def _receive(self) -> None:
        while not self._stop.is_set():
            try:
                datagram = self._socket.recv(MAX_DATAGRAM_BYTES)
            except TimeoutError:
                continue
            try:
                packet = decode_plain(datagram)
            except PacketError:
                self.counts.strange += 1
                continue
            if self.on_packet is not None:
                self.on_packet(packet)
            self._take(packet, time.monotonic())

    def _take(self, packet: bytes, now: float) -> None:
        with self._lock:
            if packet[9] == PROTOCOL_ICMP:
                self._take_refusal(packet)
            else:
                self._take_answer(packet, now)

    def _take_refusal(self, packet: bytes) -> None:
        refusal = read_refusal(packet)
        if refusal is None:
            self.counts.strange += 1
            return
        key, _, text = refusal
        flow = self.flows.get(key)
        if flow is None:
            return
        reason = text.partition(" [")[0]
        if flow.state == "opening":
            self._end(flow, "refused", reason)
        elif "domain-out" in reason:
            self._end(flow, "domain-out", reason)
        else:
            self._end(flow, "broken", reason)

    def _take_answer(self, packet: bytes, now: float) -> None:
        try:
            view = read_udp(packet)
        except PacketError:
            self.counts.strange += 1
            return
        ports = view.destination_port.to_bytes(2, "big") + view.source_port.to_bytes(2, "big")
        key = view.destination + view.source + ports + bytes((PROTOCOL_UDP,))
        flow = self.flows.get(key)
        if flow is None:
            return
        owner, _, number = view.payload.rpartition(b"|")
        if flow.state == "opening":
            flow.state, flow.owner = "open", owner
            self.counts.opened += 1
            self.owners[flow.owner_name] += 1
        if owner != flow.owner:
            self.moved.append((flow.key.hex(), flow.owner, owner))
            self._end(flow, "broken", "another target answered")
        elif number == str(flow.sent).encode() and flow.waiting_since is not None:
            flow.longest_wait_s = max(flow.longest_wait_s, now - flow.waiting_since)
            flow.answered = flow.sent
            flow.waiting_since = None

    def _end(self, flow: CallerFlow, state: str, reason: str) -> None:
        if state == "broken" and flow.state == "opening":
            state = "refused"
        flow.state, flow.reason = state, reason
        self.flows.pop(flow.key, None)
        self.reasons[f"{state}: {reason}"] += 1
        if state == "refused":
            self.counts.refused += 1
        elif state == "broken":
            self.counts.broken += 1
        else:
            self.counts.broken_domain_out += 1
