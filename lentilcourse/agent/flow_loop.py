"""Event loop that reads packets and the target's answers, all in a single task."""

from __future__ import annotations

import selectors
import time
from typing import Final

from lentilcourse.agent.flow_plane import FlowPlane
from lentilcourse.agent.flow_table import Flow
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.logs import get_logger
from lentilcourse.options import Address
from lentilcourse.sockets import MAX_DATAGRAM_BYTES, open_datagram_socket

POLL_S: Final = 0.25
TICK_S: Final = 0.5
DATAGRAMS_PER_TURN: Final = 64

_log = get_logger(__name__)


class FlowLoop:
    """Owns the agent's packet socket and watches the channels of all flows."""

    def __init__(self, *, address: Address, lifecycle: Lifecycle) -> None:
        self._lifecycle = lifecycle
        self._selector = selectors.EpollSelector()
        self._socket = open_datagram_socket(address)
        self._socket.setblocking(False)
        self._selector.register(self._socket, selectors.EVENT_READ)
        self._next_tick = 0.0
        lifecycle.on_close(self._socket.close)

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; a full socket buffer drops it, as a congested network would."""
        try:
            self._socket.sendto(datagram, address)
        except OSError:
            return

    def watch(self, flow: Flow) -> None:
        """Start reading the target's answers on a flow."""
        if flow.channel.fileno() >= 0:
            self._selector.register(flow.channel.fileno(), selectors.EVENT_READ)

    def unwatch(self, flow: Flow) -> None:
        """Stop reading the target's answers on a flow."""
        try:
            self._selector.unregister(flow.channel.fileno())
        except (KeyError, ValueError):
            return

    def run(self, plane: FlowPlane) -> None:
        """Process packets until the process has stopped."""
        packet_socket = self._socket.fileno()
        while not self._lifecycle.stopped.is_set():
            for ready, _ in self._selector.select(timeout=POLL_S):
                try:
                    self._handle_ready(plane, ready.fd, ready.fd == packet_socket)
                except Exception:
                    plane.counts.failed += 1
                    _log.exception("datagram_failed")
            now = time.monotonic()
            if now >= self._next_tick:
                self._next_tick = now + TICK_S
                plane.on_tick(now)

    def _handle_ready(self, plane: FlowPlane, descriptor: int, is_packet_socket: bool) -> None:
        if is_packet_socket:
            self._read_datagrams(plane)
        else:
            plane.on_channel_readable(descriptor, time.monotonic())

    def _read_datagrams(self, plane: FlowPlane) -> None:
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                datagram, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            plane.on_datagram(datagram, source, time.monotonic())
