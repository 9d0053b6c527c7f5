"""How packets name catalogue entries: by address, port and IP protocol."""

from __future__ import annotations

from typing import Final

from lentilcourse.model import Entry, Protocol
from lentilcourse.packets import PROTOCOL_TCP, PROTOCOL_UDP, make_service_key

IP_PROTOCOLS: Final = {Protocol.UDP: PROTOCOL_UDP, Protocol.TCP: PROTOCOL_TCP}


def entry_service_key(entry: Entry) -> bytes | None:
    """Return the service key of an entry's packets, None for an entry of requests."""
    protocol = IP_PROTOCOLS.get(entry.protocol)
    if protocol is None:
        return None
    return make_service_key(entry.address.host, entry.address.port, protocol)
