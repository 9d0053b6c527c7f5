"""Forms a group of controllers from seeds and keeps it whole.

At the first start of the system every controller knows the same seeds. The seed with the
lowest address asks all of them who they are; when none has a group yet, it founds one with
all seeds as voters. A controller outside a group (an empty data folder, a new address, a
replica that was removed) asks the others to be added as a learner. The leader then applies
`membership.due_membership_change`.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import Final

import attrs

from lentilcourse.controller.membership import due_membership_change
from lentilcourse.controller.progress import Role
from lentilcourse.controller.proposals import await_commit
from lentilcourse.controller.replica import Replica
from lentilcourse.errors import (
    ChangeRefusedError,
    LentilcourseError,
    StreamError,
)
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.logs import get_logger
from lentilcourse.messages.base import Failure, message
from lentilcourse.messages.consensus import Member, Membership
from lentilcourse.options import Address, DiscoverySettings, parse_address
from lentilcourse.streams import Identity, connect_stream

CHECK_INTERVAL_S: Final = 0.2
OUTSIDE_AFTER_S: Final = 2.0
"""Time without a leader after which a controller asks whether it still belongs to the group."""

_log = get_logger(__name__)


@message
@attrs.frozen(kw_only=True)
class IdentifyRequest:
    """Ask a controller who it is."""


@message
@attrs.frozen(kw_only=True)
class IdentifyReply:
    """Who a controller is; `in_group` says whether it knows a membership."""

    member: Member
    in_group: bool
    first_start: bool


@message
@attrs.frozen(kw_only=True)
class FoundRequest:
    """Make an empty controller a member of a new group."""

    membership: Membership


@message
@attrs.frozen(kw_only=True)
class JoinRequest:
    """Ask to be added to the group as a learner."""

    member: Member


@message
@attrs.frozen(kw_only=True)
class JoinReply:
    """Whether the asker is a member now, and the members that the asked one knows."""

    added: bool
    addresses: tuple[str, ...]


class Formation:
    """The task of one controller that founds, joins and repairs its group."""

    def __init__(
        self,
        *,
        replica: Replica,
        identity: Identity,
        address: Address,
        discovery: DiscoverySettings,
        seeds: Callable[[], Sequence[Address]],
        lifecycle: Lifecycle,
    ) -> None:
        self._replica = replica
        self._identity = identity
        self._address = address
        self._discovery = discovery
        self._seeds = seeds
        self._lifecycle = lifecycle
        self._known: tuple[Address, ...] = ()
        self._last_leader = float("-inf")

    @property
    def member(self) -> Member:
        """This controller as a member."""
        return Member(
            replica_id=self._replica.replica_id,
            name=self._identity.name,
            address=str(self._address),
            voter=False,
        )

    def run(self) -> None:
        """Work until the process has stopped."""
        self._last_leader = time.monotonic()
        while not self._lifecycle.stopped.wait(timeout=CHECK_INTERVAL_S):
            try:
                self.step(time.monotonic())
            except LentilcourseError as exc:
                _log.info("formation_retry", error=str(exc))

    def step(self, now: float) -> None:
        """Do what is due now."""
        if self._replica.role is Role.LEADER:
            self._last_leader = now
            while self._repair(time.monotonic()):
                continue
            return
        if self._replica.leader_id:
            self._last_leader = now
        membership = self._replica.membership()
        if not membership.members and self._may_found():
            self._found()
            return
        own = membership.find(self._replica.replica_id)
        if own is None or now - self._last_leader > OUTSIDE_AFTER_S:
            self._join(membership)

    def identify(self) -> IdentifyReply:
        """Answer who this controller is."""
        return IdentifyReply(
            member=self.member,
            in_group=bool(self._replica.membership().members),
            first_start=self._discovery.first_start,
        )

    def add(self, member: Member, now: float) -> JoinReply:
        """Add a controller as a learner if this one leads."""
        membership = self._replica.membership()
        addresses = tuple(sorted(each.address for each in membership.members))
        added = membership.find(member.replica_id) is not None
        if self._replica.role is Role.LEADER and not added:
            await_commit(self._replica.propose_membership("add", member, now))
            _log.info("learner_added", member=member.name, replica=member.replica_id)
            added = True
        leads = self._replica.role is Role.LEADER
        return JoinReply(added=added and leads, addresses=addresses)

    def _repair(self, now: float) -> bool:
        """Make the change of the membership that is due; returns whether there was one."""
        views = self._replica.peer_views(now)
        change = due_membership_change(views, self._replica.replica_id, self._discovery.voters)
        if change is None:
            return False
        try:
            fut = self._replica.propose_membership(change.verb, change.member, now)
        except ChangeRefusedError as exc:
            _log.debug("membership_change_waits", verb=change.verb, error=str(exc))
            return False
        await_commit(fut)
        _log.info("membership_changed", verb=change.verb, member=change.member.replica_id)
        return True

    def _may_found(self) -> bool:
        seeds = self._discovery.seeds
        return self._discovery.first_start and self._address == min(seeds)

    def _found(self) -> None:
        members = [attrs.evolve(self.member, voter=True)]
        for seed in self._discovery.seeds:
            if seed == self._address:
                continue
            reply = self._ask(seed, IdentifyRequest())
            usable = isinstance(reply, IdentifyReply) and reply.first_start and not reply.in_group
            if not usable:
                self._join_at(seed)
                return
            assert isinstance(reply, IdentifyReply)
            members.append(attrs.evolve(reply.member, voter=True))
        membership = Membership(members=tuple(members))
        for seed in self._discovery.seeds:
            if seed != self._address:
                self._ask(seed, FoundRequest(membership=membership))
        self._replica.bootstrap(membership)
        _log.info("group_founded", members=[member.name for member in members])

    def _join(self, membership: Membership) -> None:
        own = str(self._address)
        known = [address for address in self._known if address != self._address]
        members = [
            parse_address(each.address) for each in membership.members if each.address != own
        ]
        seeds = [seed for seed in self._seeds() if seed != self._address]
        for address in dict.fromkeys((*members, *known, *seeds)):
            try:
                if self._join_at(address):
                    return
            except StreamError as exc:
                _log.debug("join_failed", peer=str(address), error=str(exc))

    def _join_at(self, address: Address) -> bool:
        reply = self._ask(address, JoinRequest(member=self.member))
        if not isinstance(reply, JoinReply):
            return False
        self._known = tuple(parse_address(text) for text in reply.addresses)
        return reply.added

    def _ask(self, address: Address, msg: object) -> object:
        stream = connect_stream(address, self._identity)
        try:
            reply = stream.call(msg)
        finally:
            stream.close()
        if isinstance(reply, Failure):
            _log.info("join_refused", peer=str(address), error=reply.text)
        return reply
