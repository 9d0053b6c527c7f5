"""Interface of the delivery plug-ins, which exchange the packets of a flow with the target."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol, TypeAlias

from lentilcourse.kernel.registry import Registry
from lentilcourse.options import Address


class FlowChannel(Protocol):
    """Channel between the agent and the target for one flow."""

    @property
    def local_port(self) -> int:
        """Source port of the flow at the target; 0 if the flow has no port of its own."""

    def fileno(self) -> int:
        """Return the descriptor that becomes readable when an answer arrives; -1 if none."""

    def send(self, packet: bytes) -> None:
        """Deliver a checked packet; raises `TargetFailedError` if the target is gone."""

    def receive(self) -> bytes | None:
        """Return the payload of the next answer, None if there is none; does not block."""

    def close(self) -> None:
        """Close the channel."""


OpenChannel: TypeAlias = Callable[[Address, int], FlowChannel]
"""Opens the channel of one flow to a target address, from the given local port (0: any)."""

DELIVERY_PLUGINS: Final[Registry[OpenChannel]] = Registry(kind="delivery")
