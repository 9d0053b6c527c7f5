"""Assembles the role controller and answers requests of operators and processes."""

from __future__ import annotations

import contextlib
import random
import threading
import time
from collections.abc import Callable
from functools import singledispatch
from typing import Final, TypeAlias

import attrs

from lentilcourse import error_texts
from lentilcourse.actions import (
    ANY_VERSION,
    SYSTEM_OPERATOR,
    UNKNOWN_OPERATOR,
    Action,
    Change,
    DeleteEntry,
    DrainTarget,
    PutEntry,
    RefusedAccess,
    SetDomain,
)
from lentilcourse.admin import AdminServer
from lentilcourse.catalogue import Catalogue
from lentilcourse.clocks import MS_PER_S, wall_clock_ms
from lentilcourse.controller.directory_relay import DirectoryRelay
from lentilcourse.controller.formation import (
    Formation,
    FoundRequest,
    IdentifyRequest,
    JoinRequest,
)
from lentilcourse.controller.leases import LeaseTable, due_actions
from lentilcourse.controller.log_store import LogStore
from lentilcourse.controller.machine import CatalogueMachine
from lentilcourse.controller.progress import Role
from lentilcourse.controller.proposals import Proposer, await_commit
from lentilcourse.controller.reads import CatalogueReader, CatalogueReply, ReadCatalogue
from lentilcourse.controller.registrations import Registrations
from lentilcourse.controller.replica import Replica
from lentilcourse.controller.replication import ReplicaDriver
from lentilcourse.controller.shares import due_shares
from lentilcourse.controller.subscriptions import MAX_SUBSCRIBERS, Subscriptions
from lentilcourse.directory import AgentList, Directory
from lentilcourse.errors import (
    ChangeRefusedError,
    LentilcourseError,
    ProposalUnknownError,
    ProtocolError,
    StreamError,
)
from lentilcourse.feed import MAX_FRESHNESS_MS
from lentilcourse.ids import new_id
from lentilcourse.kernel.lifecycle import Lifecycle
from lentilcourse.kernel.registry import Registry
from lentilcourse.logs import get_logger
from lentilcourse.messages.base import Done, Failure
from lentilcourse.messages.consensus import (
    AppendRequest,
    ChangeReply,
    ForwardChange,
    InstallRequest,
    VoteRequest,
)
from lentilcourse.messages.operators import (
    AuditReply,
    AuditRequest,
    BootstrapRequest,
    MembershipRequest,
    ProposeChange,
    StateReply,
    StateRequest,
    StatusReply,
    StatusRequest,
)
from lentilcourse.messages.state import Announcement, ForwardAnnouncement, Subscribe
from lentilcourse.options import ControllerSettings, Settings
from lentilcourse.plugins import load_plugin
from lentilcourse.roles import ROLE_PLUGINS, ProcessContext
from lentilcourse.streams import (
    KIND_OPERATOR,
    KIND_PROCESS,
    Identity,
    KeyRing,
    Stream,
    StreamListener,
)
from lentilcourse.subscription import SeedReader

OperatorInterface: TypeAlias = Callable[["Controller", AdminServer], None]

OPERATOR_INTERFACES: Final[Registry[OperatorInterface]] = Registry(kind="operator interface")

LEASE_CHECK_S: Final = 0.1
UNPROVED_INTERVAL_S: Final = 1.0
OPERATOR_ACTIONS: Final = (PutEntry, DeleteEntry, SetDomain, DrainTarget)
OPERATOR_MESSAGES: Final = (
    ProposeChange,
    StateRequest,
    StatusRequest,
    AuditRequest,
    BootstrapRequest,
    MembershipRequest,
)
PROCESS_MESSAGES: Final = (
    VoteRequest,
    AppendRequest,
    InstallRequest,
    ForwardChange,
    ForwardAnnouncement,
    StateRequest,
    StatusRequest,
    IdentifyRequest,
    FoundRequest,
    JoinRequest,
    ReadCatalogue,
    AgentList,
)

_log = get_logger(__name__)


@attrs.frozen(kw_only=True)
class Caller:
    """Who sent a request, as its stream proved it."""

    name: str
    kind: str
    remote: str


class Controller:
    """One controller process."""

    def __init__(
        self, *, settings: Settings, cfg: ControllerSettings, lifecycle: Lifecycle
    ) -> None:
        self.name = settings.process.name
        self.settings = settings
        self.cfg = cfg
        self.lifecycle = lifecycle
        identity = Identity(name=self.name, kind=KIND_PROCESS, key=settings.cluster_key)
        self.store = LogStore(folder=cfg.data_folder, name=self.name)
        self.replica = Replica(
            store=self.store,
            machine=CatalogueMachine(),
            election_timeout_s=cfg.election_timeout_ms / MS_PER_S,
            snapshot_records=cfg.snapshot_records,
            group_commit=cfg.group_commit,
            rng=random.Random(),
            now=time.monotonic(),
        )
        self.driver = ReplicaDriver(
            replica=self.replica,
            identity=identity,
            controllers=settings.controllers,
            lifecycle=lifecycle,
        )
        self.proposer = Proposer(
            replica=self.replica,
            identity=identity,
            controllers=settings.controllers,
            lifecycle=lifecycle,
        )
        self.reader = CatalogueReader(
            replica=self.replica, identity=identity, controllers=settings.controllers
        )
        self.leases = LeaseTable()
        self.registrations = Registrations()
        self.directory = Directory(on_change=self._directory_changed)
        self.relay = DirectoryRelay(
            replica=self.replica, identity=identity, known=self.directory, lifecycle=lifecycle
        )
        self.subscriptions = Subscriptions(
            replica=self.replica,
            lifecycle=lifecycle,
            on_announcement=self.take_announcement,
            on_notice=self.relay.take_direct,
            directory=self.directory,
            announce_members=settings.discovery is not None,
        )
        self.formation = self._new_formation(identity)
        self._tasks = lifecycle.pool(name="controller", limit=6)
        self._proposing: set[str] = set()
        self._proposing_lock = threading.Lock()
        self._listener = StreamListener(
            name=self.name,
            address=cfg.address,
            keys=KeyRing(cluster_key=settings.cluster_key, operator_keys=settings.operator_keys),
            pool=lifecycle.pool(name="controller-stream", limit=MAX_SUBSCRIBERS),
            lifecycle=lifecycle,
            serve=self.serve,
            on_unproved=self.record_unproved,
        )
        self._unproved_recorded = float("-inf")
        self._lease_pool = lifecycle.pool(name="lease-proposal", limit=64)

    def start(self) -> None:
        """Start all tasks."""
        self.driver.start()
        self._tasks.submit(self._listener.run)
        if self.formation is None:
            self._tasks.submit(self._run_leases)
        else:
            self._tasks.submit(self.formation.run)
            self._tasks.submit(self.relay.run)
            self._tasks.submit(self._run_registrations)
        if self.replica.damaged:
            _log.warning("log_damaged", replica=self.replica.replica_id)

    def _new_formation(self, identity: Identity) -> Formation | None:
        discovery = self.settings.discovery
        if discovery is None:
            return None
        return Formation(
            replica=self.replica,
            identity=identity,
            address=self.cfg.address,
            discovery=discovery,
            seeds=SeedReader(file=self.settings.file, first=discovery.seeds).read,
            lifecycle=self.lifecycle,
        )

    def _directory_changed(self) -> None:
        with self.replica.changed:
            self.replica.changed.notify_all()

    def serve(self, stream: Stream) -> None:
        """Serve one stream until it ends."""
        caller = Caller(name=stream.peer, kind=stream.kind, remote=stream.remote)
        while not self.lifecycle.stopped.is_set():
            msg = stream.receive()
            if isinstance(msg, Subscribe) and caller.kind == KIND_PROCESS:
                self.subscriptions.serve(stream, msg)
                return
            stream.send(self._answer(msg, caller))

    def applied_catalogue(self) -> Catalogue:
        """Return the published catalogue that is committed and applied here."""
        with self.replica.changed:
            return self.replica.machine.state.catalogue

    def take_announcement(self, name: str, announcement: Announcement) -> None:
        """Renew a lease here, or at the leader."""
        if self.replica.role is Role.LEADER:
            self.leases.renew(name, announcement, time.monotonic())
            return
        self.proposer.forward_announcement(
            ForwardAnnouncement(name=name, announcement=announcement)
        )

    def record_unproved(self, remote: str, reason: str) -> None:
        """Enter a peer that did not prove a key in the audit trail, at most one a second."""
        now = time.monotonic()
        if now - self._unproved_recorded < UNPROVED_INTERVAL_S:
            return
        self._unproved_recorded = now
        action = RefusedAccess(name=self.name, reason=reason)
        change = own_change(UNKNOWN_OPERATOR, remote.rpartition(":")[0], action)
        with contextlib.suppress(LentilcourseError):
            self.proposer.submit(change)

    def _answer(self, msg: object, caller: Caller) -> object:
        allowed = OPERATOR_MESSAGES if caller.kind == KIND_OPERATOR else PROCESS_MESSAGES
        if not isinstance(msg, allowed):
            raise ProtocolError(error_texts.MESSAGE_UNEXPECTED.format(name=type(msg).__name__))
        try:
            return answer(msg, self, caller)
        except StreamError:
            raise
        except LentilcourseError as exc:
            return Failure(code=type(exc).__name__, text=str(exc))

    def _run_leases(self) -> None:
        leader_since = 0.0
        led = False
        while not self.lifecycle.stopped.wait(timeout=LEASE_CHECK_S):
            leads = self.replica.role is Role.LEADER
            now = time.monotonic()
            if leads and not led:
                leader_since = now
                self.leases.clear()
            led = leads
            if leads:
                self._propose_due(leader_since, now)

    def _propose_due(self, leader_since: float, now: float) -> None:
        with self.replica.changed:
            state = self.replica.machine.state
        leases = self.leases.snapshot()
        for action in due_actions(state, leases, leader_since, now):
            self._propose_once(action)
        announcements = {name: lease.announcement for name, lease in leases.items()}
        for shares in due_shares(state, announcements):
            self._propose_once(shares)

    def _run_registrations(self) -> None:
        """Keep the registered agents in step with the directory while this replica leads."""
        while not self.lifecycle.stopped.wait(timeout=LEASE_CHECK_S):
            if self.replica.role is not Role.LEADER:
                self.registrations.reset()
                continue
            with self.replica.changed:
                state = self.replica.machine.state
            records, gone = self.directory.records(), self.directory.gone()
            for action in self.registrations.due(state, records, gone, time.monotonic()):
                self._propose_once(action)

    def _propose_once(self, action: Action) -> None:
        place = f"{type(action).__name__} {action.name}"
        with self._proposing_lock:
            if place in self._proposing:
                return
            self._proposing.add(place)
        self._lease_pool.submit(lambda: self._propose_membership(action, place))

    def _propose_membership(self, action: Action, place: str) -> None:
        change = own_change(SYSTEM_OPERATOR, self.name, action)
        try:
            self.proposer.submit_as_leader(change)
        except ProposalUnknownError:
            return
        finally:
            with self._proposing_lock:
                self._proposing.discard(place)


def own_change(operator: str, source: str, action: Action) -> Change:
    """Return a change that a controller proposes, whatever version is in force."""
    return Change(
        change_id=new_id(),
        operator=operator,
        source=source,
        at_ms=wall_clock_ms(),
        edit_version=ANY_VERSION,
        action=action,
    )


@singledispatch
def answer(msg: object, controller: Controller, caller: Caller) -> object:
    """Return the answer to a request, by its kind."""
    raise ProtocolError(error_texts.MESSAGE_UNEXPECTED.format(name=type(msg).__name__))


@answer.register
def _vote(msg: VoteRequest, controller: Controller, caller: Caller) -> object:
    return controller.replica.on_vote_request(msg, time.monotonic())


@answer.register
def _append(msg: AppendRequest, controller: Controller, caller: Caller) -> object:
    return controller.replica.on_append_request(msg, time.monotonic())


@answer.register
def _install(msg: InstallRequest, controller: Controller, caller: Caller) -> object:
    return controller.replica.on_install_request(msg, time.monotonic())


@answer.register
def _identify(msg: IdentifyRequest, controller: Controller, caller: Caller) -> object:
    return _formation(controller).identify()


@answer.register
def _found(msg: FoundRequest, controller: Controller, caller: Caller) -> object:
    controller.replica.bootstrap(msg.membership)
    return Done()


@answer.register
def _join(msg: JoinRequest, controller: Controller, caller: Caller) -> object:
    return _formation(controller).add(msg.member, time.monotonic())


def _formation(controller: Controller) -> Formation:
    if controller.formation is None:
        raise ProtocolError(error_texts.MESSAGE_UNEXPECTED.format(name="JoinRequest"))
    return controller.formation


@answer.register
def _agents(msg: AgentList, controller: Controller, caller: Caller) -> object:
    controller.directory.offer(msg.notices, time.monotonic())
    return Done()


@answer.register
def _read_catalogue(msg: ReadCatalogue, controller: Controller, caller: Caller) -> object:
    return CatalogueReply(catalogue=controller.reader.read_as_leader(time.monotonic()))


@answer.register
def _propose(msg: ProposeChange, controller: Controller, caller: Caller) -> object:
    change = Change(
        change_id=msg.change_id,
        operator=caller.name,
        source=caller.remote.rpartition(":")[0],
        at_ms=wall_clock_ms(),
        edit_version=max(msg.edit_version, 0),
        action=msg.action,
    )
    if not isinstance(msg.action, OPERATOR_ACTIONS):
        raise ChangeRefusedError(
            error_texts.MESSAGE_UNEXPECTED.format(name=type(msg.action).__name__)
        )
    return ChangeReply(outcome=controller.proposer.submit(change))


@answer.register
def _forward_change(msg: ForwardChange, controller: Controller, caller: Caller) -> object:
    return ChangeReply(outcome=controller.proposer.submit_as_leader(msg.change))


@answer.register
def _forward_announcement(
    msg: ForwardAnnouncement, controller: Controller, caller: Caller
) -> object:
    if controller.replica.role is Role.LEADER:
        controller.leases.renew(msg.name, msg.announcement, time.monotonic())
    return Done()


@answer.register
def _state(msg: StateRequest, controller: Controller, caller: Caller) -> object:
    with controller.replica.changed:
        return StateReply(state=controller.replica.machine.state)


@answer.register
def _audit(msg: AuditRequest, controller: Controller, caller: Caller) -> object:
    with controller.replica.changed:
        return AuditReply(records=controller.replica.machine.search_audit(msg))


@answer.register
def _bootstrap(msg: BootstrapRequest, controller: Controller, caller: Caller) -> object:
    controller.replica.bootstrap(msg.membership)
    _log.info("bootstrapped", operator=caller.name)
    return Done()


@answer.register
def _membership(msg: MembershipRequest, controller: Controller, caller: Caller) -> object:
    fut = controller.replica.propose_membership(msg.verb, msg.member, time.monotonic())
    await_commit(fut)
    _log.info("membership_changed", verb=msg.verb, member=msg.member.name, operator=caller.name)
    return Done()


@answer.register
def _status(msg: StatusRequest, controller: Controller, caller: Caller) -> object:
    now = time.monotonic()
    replica = controller.replica
    with replica.changed:
        return StatusReply(
            name=controller.name,
            replica_id=replica.replica_id,
            role=replica.role.value,
            term=replica.term,
            leader=replica.leader_id,
            version=replica.machine.state.version,
            log_index=replica.last_index,
            commit_index=replica.commit_index,
            freshness_ms=int(min(replica.freshness_s(now) * MS_PER_S, MAX_FRESHNESS_MS)),
            damaged=replica.damaged,
            membership=replica.membership(),
            reports=controller.subscriptions.reports(now),
        )


@ROLE_PLUGINS.register("controller")
def start_controller(context: ProcessContext) -> None:
    """Start the role controller."""
    cfg = context.settings.controller
    assert cfg is not None
    controller = Controller(settings=context.settings, cfg=cfg, lifecycle=context.lifecycle)
    replica = controller.replica
    metrics = context.metrics
    metrics.gauge("lentilcourse.controller.version", lambda: replica.machine.state.version)
    metrics.gauge("lentilcourse.controller.term", lambda: replica.term)
    metrics.gauge("lentilcourse.controller.log_index", lambda: replica.last_index)
    metrics.gauge("lentilcourse.controller.commit_index", lambda: replica.commit_index)
    metrics.gauge("lentilcourse.controller.leader", lambda: int(replica.role is Role.LEADER))
    controller.start()
    if cfg.operator_interface:
        load_plugin(cfg.operator_interface)
        assert cfg.operator_address is not None
        server = AdminServer(address=cfg.operator_address, lifecycle=context.lifecycle)
        OPERATOR_INTERFACES.get(cfg.operator_interface)(controller, server)
        server.start()
