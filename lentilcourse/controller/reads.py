"""Linearizable reads of the published catalogue from any controller.

The leader answers after a quorum has confirmed, later than the read began, that it still
leads. Another controller passes the read on. Where nobody can confirm, the read fails: an
older catalogue is never returned.
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
"""Time for the confirmation; callers try another controller after a second."""


@message
@attrs.frozen(kw_only=True)
class ReadCatalogue:
    """Ask the leader for the newest published catalogue."""


@message
@attrs.frozen(kw_only=True)
class CatalogueReply:
    """The newest published catalogue."""

    catalogue: Catalogue


class CatalogueReader:
    """Reads of one controller."""

    def __init__(
        self, *, replica: Replica, identity: Identity, controllers: Mapping[str, Address]
    ) -> None:
        self._replica = replica
        self._leader = LeaderClient(identity=identity, controllers=controllers)

    def read(self, now: float) -> Catalogue:
        """Return the newest catalogue; raises `NotLeaderError` or `StreamError` if unsure."""
        if self._replica.role is Role.LEADER:
            return self.read_as_leader(now)
        return self._leader.ask(self._replica.leader(), ReadCatalogue(), CatalogueReply).catalogue

    def read_as_leader(self, now: float) -> Catalogue:
        """Return the catalogue here once leadership is confirmed after `now`."""
        if not self._replica.wait_confirmed(now, CONFIRM_TIMEOUT_S):
            text = error_texts.READ_UNCONFIRMED.format(seconds=CONFIRM_TIMEOUT_S)
            raise NotLeaderError(text)
        with self._replica.changed:
            return self._replica.machine.state.catalogue
