"""Bootstraps a group of controllers from seeds and replaces its lost members.

At the first start of the system every controller has the same list of seeds. The seed with
the lowest address identifies all of them; if none belongs to a group yet, it bootstraps one
with all seeds as voters. A controller that is not a member (an empty data folder, a new
address, a removed replica) asks the others to be added as a learner. The leader then applies
the changes that `membership.due_membership_change` returns.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

import attrs

from lentilcourse.clocks import boot_time_s
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
REJOIN_AFTER_S: Final = 2.0
"""Time without a known leader after which a member asks to join, as it may have been removed."""

_log = get_logger(__name__)


@message
@attrs.frozen(kw_only=True)
class IdentifyRequest:
    """Ask a controller for its identity and state."""


@message
@attrs.frozen(kw_only=True)
class IdentifyReply:
    """Identity and state of a controller; `in_group` is set if it has a membership."""

    member: Member
    in_group: bool
    first_start: bool


@message
@attrs.frozen(kw_only=True)
class FoundRequest:
    """Bootstrap an empty controller as a member of a new group."""

    membership: Membership


@message
@attrs.frozen(kw_only=True)
class JoinRequest:
    """Ask to be added to the group as a learner."""

    member: Member


@message
@attrs.frozen(kw_only=True)
class JoinReply:
    """Whether the requester is a member, and the member addresses known to the responder."""

    added: bool
    addresses: tuple[str, ...]


class Formation:
    """Background task of a controller that bootstraps, joins and repairs its group."""

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
        self._learned_addresses: tuple[Address, ...] = ()
        self._leader_seen_at = float("-inf")

    @property
    def member(self) -> Member:
        """This controller described as a non-voting member."""
        return Member(
            replica_id=self._replica.replica_id,
            name=self._identity.name,
            address=str(self._address),
            voter=False,
        )

    def run(self) -> None:
        """Run steps until the process stops."""
        self._leader_seen_at = boot_time_s()
        while not self._lifecycle.stopped.wait(timeout=CHECK_INTERVAL_S):
            try:
                self.step(boot_time_s())
            except LentilcourseError as exc:
                _log.info("formation_retry", error=str(exc))

    def step(self, now: float) -> None:
        """Repair the group as its leader; otherwise bootstrap or join it where needed."""
        if self._replica.role is Role.LEADER:
            self._leader_seen_at = now
            while self._apply_due_change(boot_time_s()):
                continue
            return
        if self._replica.leader_id:
            self._leader_seen_at = now
        membership = self._replica.membership()
        if not membership.members and self._may_bootstrap():
            self._bootstrap_group()
            return
        own_member = membership.find(self._replica.replica_id)
        if own_member is None or now - self._leader_seen_at > REJOIN_AFTER_S:
            self._request_join(membership)

    def identify(self) -> IdentifyReply:
        """Return the identity and state of this controller."""
        return IdentifyReply(
            member=self.member,
            in_group=bool(self._replica.membership().members),
            first_start=self._discovery.first_start,
        )

    def add_learner(self, member: Member, now: float) -> JoinReply:
        """Add a controller as a learner if this replica is the leader."""
        membership = self._replica.membership()
        addresses = tuple(sorted(known.address for known in membership.members))
        added = membership.find(member.replica_id) is not None
        if self._replica.role is Role.LEADER and not added:
            await_commit(self._replica.propose_membership("add", member, now))
            _log.info("learner_added", member=member.name, replica=member.replica_id)
            added = True
        is_leader = self._replica.role is Role.LEADER
        return JoinReply(added=added and is_leader, addresses=addresses)

    def _apply_due_change(self, now: float) -> bool:
        """Commit the membership change that is due; returns whether one was made."""
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

    def _may_bootstrap(self) -> bool:
        seeds = self._discovery.seeds
        return self._discovery.first_start and self._address == min(seeds)

    def _bootstrap_group(self) -> None:
        members = [attrs.evolve(self.member, voter=True)]
        for seed in self._discovery.seeds:
            if seed == self._address:
                continue
            reply = self._send_request(seed, IdentifyRequest())
            usable = isinstance(reply, IdentifyReply) and reply.first_start and not reply.in_group
            if not usable:
                self._request_join_from(seed)
                return
            assert isinstance(reply, IdentifyReply)
            members.append(attrs.evolve(reply.member, voter=True))
        membership = Membership(members=tuple(members))
        for seed in self._discovery.seeds:
            if seed != self._address:
                self._send_request(seed, FoundRequest(membership=membership))
        self._replica.bootstrap(membership)
        _log.info("group_founded", members=[member.name for member in members])

    def _request_join(self, membership: Membership) -> None:
        own_address = str(self._address)
        learned = [address for address in self._learned_addresses if address != self._address]
        members = [
            parse_address(member.address)
            for member in membership.members
            if member.address != own_address
        ]
        seeds = [seed for seed in self._seeds() if seed != self._address]
        for address in dict.fromkeys((*members, *learned, *seeds)):
            try:
                if self._request_join_from(address):
                    return
            except StreamError as exc:
                _log.debug("join_failed", peer=str(address), error=str(exc))

    def _request_join_from(self, address: Address) -> bool:
        reply = self._send_request(address, JoinRequest(member=self.member))
        if not isinstance(reply, JoinReply):
            return False
        self._learned_addresses = tuple(parse_address(text) for text in reply.addresses)
        return reply.added

    def _send_request(self, address: Address, msg: object) -> object:
        stream = connect_stream(address, self._identity)
        try:
            reply = stream.call(msg)
        finally:
            stream.close()
        if isinstance(reply, Failure):
            _log.info("join_refused", peer=str(address), error=reply.text)
        return reply
