"""How packets of a flow reach the target: the interface of delivery plug-ins."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol, TypeAlias

from lentilcourse.kernel.registry import Registry
from lentilcourse.options import Address


class FlowChannel(Protocol):
    """The path of one flow to the target."""

    @property
    def local_port(self) -> int:
        """Port from which the target sees the flow; 0 if it has none of its own."""

    def fileno(self) -> int:
        """Return the descriptor that becomes readable with an answer; -1 for none."""

    def send(self, packet: bytes) -> None:
        """Deliver a checked packet; raises `TargetFailedError` if the target is gone."""

    def receive(self) -> bytes | None:
        """Return the next answer's payload without waiting, None if there is none."""

    def close(self) -> None:
        """End the path."""


OpenChannel: TypeAlias = Callable[[Address, int], FlowChannel]
"""Opens the path of one flow to a target address, from a given local port or any (0)."""

DELIVERY_PLUGINS: Final[Registry[OpenChannel]] = Registry(kind="delivery")
