"""Delivery to an unmodified UDP server, without special privileges.

Each flow has its own connected socket: the target distinguishes flows by source port, and each
answer arrives on the socket of its flow.
"""

from __future__ import annotations

import socket
from typing import Final

from lentilcourse.agent.delivery import DELIVERY_PLUGINS, FlowChannel
from lentilcourse.errors import TargetFailedError
from lentilcourse.options import Address
from lentilcourse.packets import udp_payload

MAX_PAYLOAD_BYTES: Final = 65507


class UdpChannel:
    """Connected UDP socket of one flow."""

    def __init__(self, *, sock: socket.socket) -> None:
        self._socket = sock
        self._local_port: int = sock.getsockname()[1]

    @property
    def local_port(self) -> int:
        """Source port of the flow at the target."""
        return self._local_port

    def fileno(self) -> int:
        """Return the socket's descriptor."""
        return self._socket.fileno()

    def send(self, packet: bytes) -> None:
        """Send the payload of a checked UDP packet; it is dropped if the socket buffer is full."""
        try:
            self._socket.send(udp_payload(packet))
        except BlockingIOError:
            return
        except OSError as exc:
            raise TargetFailedError(str(exc)) from exc

    def receive(self) -> bytes | None:
        """Return the payload of the next answer, None if there is none."""
        try:
            return self._socket.recv(MAX_PAYLOAD_BYTES)
        except BlockingIOError:
            return None
        except OSError as exc:
            raise TargetFailedError(str(exc)) from exc

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


@DELIVERY_PLUGINS.register("udp")
def open_udp_channel(address: Address, local_port: int) -> FlowChannel:
    """Open a socket connected to the target; raises `TargetFailedError`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind((address.host, local_port))
        sock.connect(address.pair())
    except OSError as exc:
        sock.close()
        raise TargetFailedError(str(exc)) from exc
    return UdpChannel(sock=sock)
