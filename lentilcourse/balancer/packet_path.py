"""The packet path of a balancer: one loop on one socket, no flow state.

Each packet of the fabric is hashed to a bucket of its service and sent to the bucket's home
agent. Any balancer can carry any packet at any time. The routes are replaced whole when the
state changes.
"""

from __future__ import annotations

import attrs
from xxhash import xxh3_64_intdigest

from lentilcourse.buckets import BUCKET_MASK, build_table
from lentilcourse.errors import PacketError
from lentilcourse.geneve import PLAIN_HEADER, PacketLabel, decode_plain, encode_label
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.logs import get_logger
from lentilcourse.model import Entry, State
from lentilcourse.options import Address
from lentilcourse.packets import (
    ICMP_CODE_HOST_UNREACHABLE,
    build_refusal,
    check_packet,
)
from lentilcourse.refusals import RAN_NO, Cause, RefusalCounts, describe, system_refusal
from lentilcourse.service_keys import entry_service_key
from lentilcourse.sockets import MAX_DATAGRAM_BYTES, open_datagram_socket

_log = get_logger(__name__)


@attrs.define(kw_only=True)
class PacketCounts:
    """What the packet path has done since its start."""

    received: int = 0
    forwarded: int = 0
    malformed: int = 0
    unknown_service: int = 0
    no_target: int = 0
    unread: int = 0
    failed: int = 0


@attrs.frozen(kw_only=True)
class Route:
    """Where packets of one service address go.

    Attributes:
        entry: the catalogue entry.
        header: encapsulation header with our label.
        homes: UDP address of the home of each bucket; empty without targets.
    """

    entry: Entry
    header: bytes
    homes: tuple[tuple[str, int], ...]


def build_routes(state: State) -> dict[bytes, Route]:
    """Return the route of each service address at a state, by service key."""
    routes: dict[bytes, Route] = {}
    for entry in state.entries.values():
        key = entry_service_key(entry)
        if key is not None:
            routes[key] = _build_route(state, entry)
    return routes


def _build_route(state: State, entry: Entry) -> Route:
    table = build_table(state, entry.service)
    names = [candidates[0] for candidates in table.candidates if candidates]
    label = PacketLabel(entry_id=entry.entry_id, version=state.version)
    return Route(
        entry=entry,
        header=encode_label(label),
        homes=tuple(state.targets[name].data_address.pair() for name in names),
    )


class PacketPath:
    """Forwards packets of the fabric to home agents."""

    def __init__(self, *, address: Address, lifecycle: Lifecycle, refusals: RefusalCounts) -> None:
        self.counts = PacketCounts()
        self._refusals = refusals
        self._lifecycle = lifecycle
        self._routes: dict[bytes, Route] = {}
        self._socket = open_datagram_socket(address)
        lifecycle.on_close(self._socket.close)

    def on_state(self, state: State, now: float) -> None:
        """Put the routes of a new state in force."""
        self._routes = build_routes(state)

    def run(self) -> None:
        """Forward packets until the process has stopped."""
        stopped = self._lifecycle.stopped
        while not stopped.is_set():
            try:
                self.carry_one()
            except TimeoutError:
                continue
            except OSError:
                if not stopped.is_set():
                    self.counts.unread += 1
            except Exception:
                self.counts.failed += 1
                _log.exception("datagram_failed")

    def carry_one(self) -> None:
        """Wait for one datagram and carry it; raises `TimeoutError` if none comes."""
        datagram, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        self._forward(datagram, source)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _forward(self, datagram: bytes, source: tuple[str, int]) -> None:
        counts = self.counts
        counts.received += 1
        try:
            packet = decode_plain(datagram)
            check_packet(packet)
        except PacketError:
            counts.malformed += 1
            return
        protocol = packet[9:10]
        route = self._routes.get(packet[16:20] + packet[22:24] + protocol)
        if route is None:
            counts.unknown_service += 1
            return
        if not route.homes:
            self._refuse(packet, route, source)
            return
        bucket = xxh3_64_intdigest(packet[12:24] + protocol) & BUCKET_MASK
        self._send(route.header + packet, route.homes[bucket])
        counts.forwarded += 1

    def _refuse(self, packet: bytes, route: Route, source: tuple[str, int]) -> None:
        self.counts.no_target += 1
        refusal = system_refusal(Cause.NO_TARGET, RAN_NO, route.entry.name)
        self._refusals.add(refusal)
        answer = build_refusal(packet, ICMP_CODE_HOST_UNREACHABLE, describe(refusal))
        self._send(PLAIN_HEADER + answer, source)

    def _send(self, datagram: bytes, address: tuple[str, int]) -> None:
        try:
            self._socket.sendto(datagram, address)
        except OSError:
            return
