"""Linearizable reads of the published catalogue from any controller.

The leader replies only after a quorum has confirmed its leadership since the read began. Other
controllers forward the read to the leader. Without such a confirmation the read fails, so that
an outdated catalogue is never returned.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import attrs

from lentilcourse import error_texts
from lentilcourse.catalogue import Catalogue
from lentilcourse.controller.progress import Role
from lentilcourse.controller.proposals import LeaderClient
from lentilcourse.controller.replica import Replica
from lentilcourse.errors import NotLeaderError
from lentilcourse.messages.base import message
from lentilcourse.options import Address
from lentilcourse.streams import Identity

CONFIRM_TIMEOUT_S: Final = 0.8
"""Timeout of the confirmation; callers try another controller after 1 s."""


@message
@attrs.frozen(kw_only=True)
class ReadCatalogue:
    """Requests the latest published catalogue from the leader."""


@message
@attrs.frozen(kw_only=True)
class CatalogueReply:
    """Carries the latest published catalogue."""

    catalogue: Catalogue


class CatalogueReader:
    """Reads the published catalogue, locally on the leader and otherwise through it."""

    def __init__(
        self, *, replica: Replica, identity: Identity, controllers: Mapping[str, Address]
    ) -> None:
        self._replica = replica
        self._leader = LeaderClient(identity=identity, controllers=controllers)

    def read(self, now: float) -> Catalogue:
        """Return the latest catalogue; raises `NotLeaderError` or `StreamError` if unconfirmed."""
        if self._replica.role is Role.LEADER:
            return self.read_as_leader(now)
        return self._leader.ask(self._replica.leader(), ReadCatalogue(), CatalogueReply).catalogue

    def read_as_leader(self, now: float) -> Catalogue:
        """Return this replica's catalogue once leadership is confirmed since `now`."""
        if not self._replica.wait_for_leadership_confirmation(now, CONFIRM_TIMEOUT_S):
            text = error_texts.READ_UNCONFIRMED.format(seconds=CONFIRM_TIMEOUT_S)
            raise NotLeaderError(text)
        with self._replica.changed:
            return self._replica.machine.state.catalogue
