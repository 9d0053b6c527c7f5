"""The controller role: wires its components and handles requests of operators and processes."""

from __future__ import annotations

import contextlib
import random
import threading
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
from lentilcourse.clocks import MS_PER_S, boot_time_s, wall_clock_ms
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
    CALL_TIMEOUT_S,
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
from lentilcourse.messages.state import (
    MAX_FRESHNESS_MS,
    Announcement,
    ForwardAnnouncement,
    Subscribe,
)
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

LEADER_CHECK_INTERVAL_S: Final = 0.1
AUTH_FAILURE_AUDIT_INTERVAL_S: Final = 1.0
ORDER_LIFE_S: Final = 0.9 * CALL_TIMEOUT_S
"""Age at which an operator's order is refused, since its caller may have turned elsewhere."""
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
    """Authenticated sender of a request, as established by its stream's handshake.

    Attributes:
        name: name that it proved.
        kind: "process" or "operator".
        remote: its address, IP:PORT.
        orders_expire: time after which an operator may have sent this request to another
            controller (boot time).
    """

    name: str
    kind: str
    remote: str
    orders_expire: float


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
            now=boot_time_s(),
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
        self.directory = Directory(on_change=self._notify_directory_change)
        self.relay = DirectoryRelay(
            replica=self.replica, identity=identity, directory=self.directory, lifecycle=lifecycle
        )
        self.subscriptions = Subscriptions(
            replica=self.replica,
            lifecycle=lifecycle,
            on_announcement=self.handle_announcement,
            on_notice=self.relay.handle_local_notice,
            directory=self.directory,
            announce_members=settings.discovery is not None,
        )
        self.formation = self._new_formation(identity)
        self._tasks = lifecycle.pool(name="controller", limit=6)
        self._pending_proposals: set[str] = set()
        self._pending_proposals_lock = threading.Lock()
        self._listener = StreamListener(
            name=self.name,
            address=cfg.address,
            keys=KeyRing(cluster_key=settings.cluster_key, operator_keys=settings.operator_keys),
            pool=lifecycle.pool(name="controller-stream", limit=MAX_SUBSCRIBERS),
            lifecycle=lifecycle,
            serve=self.serve,
            on_unproved=self.record_authentication_failure,
        )
        self._auth_failure_recorded_at = float("-inf")
        self._proposal_pool = lifecycle.pool(name="lease-proposal", limit=64)

    def start(self) -> None:
        """Start all background tasks."""
        self.driver.start()
        loops = [self._listener.run]
        if self.formation is None:
            loops.append(self._run_leases)
        else:
            loops += [self.formation.run, self.relay.run, self._run_registrations]
        for loop in loops:
            self.lifecycle.keep_running(self._tasks, loop)
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

    def _notify_directory_change(self) -> None:
        with self.replica.changed:
            self.replica.changed.notify_all()

    def serve(self, stream: Stream) -> None:
        """Handle the requests of one stream until it closes."""
        while not self.lifecycle.stopped.is_set():
            caller = Caller(
                name=stream.peer,
                kind=stream.kind,
                remote=stream.remote,
                orders_expire=stream.heard_after + ORDER_LIFE_S,
            )
            msg = stream.receive()
            if isinstance(msg, Subscribe) and caller.kind == KIND_PROCESS:
                self.subscriptions.serve(stream, msg)
                return
            reply = self._handle_message(msg, caller)
            stream.heard_after = boot_time_s()
            stream.send(reply)

    def applied_catalogue(self) -> Catalogue:
        """Return the published catalogue that is committed and applied at this replica."""
        with self.replica.changed:
            return self.replica.machine.state.catalogue

    def handle_announcement(self, name: str, announcement: Announcement) -> None:
        """Renew a target's lease locally if this replica leads, else forward to the leader."""
        if self.replica.role is Role.LEADER:
            self.leases.renew(name, announcement, boot_time_s())
            return
        self.proposer.forward_announcement(
            ForwardAnnouncement(name=name, announcement=announcement)
        )

    def record_authentication_failure(self, remote: str, reason: str) -> None:
        """Record a peer that failed authentication in the audit trail, at most one per second."""
        now = boot_time_s()
        if now - self._auth_failure_recorded_at < AUTH_FAILURE_AUDIT_INTERVAL_S:
            return
        self._auth_failure_recorded_at = now
        action = RefusedAccess(name=self.name, reason=reason)
        change = unconditional_change(UNKNOWN_OPERATOR, remote.rpartition(":")[0], action)
        with contextlib.suppress(LentilcourseError):
            self.proposer.submit(change)

    def _handle_message(self, msg: object, caller: Caller) -> object:
        allowed = OPERATOR_MESSAGES if caller.kind == KIND_OPERATOR else PROCESS_MESSAGES
        if not isinstance(msg, allowed):
            raise ProtocolError(error_texts.MESSAGE_UNEXPECTED.format(name=type(msg).__name__))
        try:
            return handle_request(msg, self, caller)
        except StreamError:
            raise
        except LentilcourseError as exc:
            return Failure(code=type(exc).__name__, text=str(exc))
        except Exception as exc:
            _log.exception("request_failed", message=type(msg).__name__)
            return Failure(code=type(exc).__name__, text=error_texts.REQUEST_FAILED)

    def _run_leases(self) -> None:
        leader_since = 0.0
        was_leader = False
        while not self.lifecycle.stopped.wait(timeout=LEADER_CHECK_INTERVAL_S):
            is_leader = self.replica.role is Role.LEADER
            now = boot_time_s()
            if is_leader and not was_leader:
                leader_since = now
                self.leases.clear()
            was_leader = is_leader
            if is_leader:
                self._propose_due_changes(leader_since, now)

    def _propose_due_changes(self, leader_since: float, now: float) -> None:
        with self.replica.changed:
            state = self.replica.machine.state
        leases = self.leases.snapshot()
        for action in due_actions(state, leases, leader_since, now):
            self._propose_unless_pending(action)
        announcements = {name: lease.announcement for name, lease in leases.items()}
        for set_shares in due_shares(state, announcements):
            self._propose_unless_pending(set_shares)

    def _run_registrations(self) -> None:
        """Propose changes that align the registered agents with the directory, while leading."""
        while not self.lifecycle.stopped.wait(timeout=LEADER_CHECK_INTERVAL_S):
            if self.replica.role is not Role.LEADER:
                self.registrations.reset()
                continue
            with self.replica.changed:
                state = self.replica.machine.state
            records, gone = self.directory.records(), self.directory.gone()
            for action in self.registrations.due(state, records, gone, boot_time_s()):
                self._propose_unless_pending(action)

    def _propose_unless_pending(self, action: Action) -> None:
        proposal_key = f"{type(action).__name__} {action.name}"
        with self._pending_proposals_lock:
            if proposal_key in self._pending_proposals:
                return
            self._pending_proposals.add(proposal_key)
        self._proposal_pool.submit(lambda: self._submit_proposal(action, proposal_key))

    def _submit_proposal(self, action: Action, proposal_key: str) -> None:
        change = unconditional_change(SYSTEM_OPERATOR, self.name, action)
        try:
            self.proposer.submit_as_leader(change)
        except ProposalUnknownError:
            return
        finally:
            with self._pending_proposals_lock:
                self._pending_proposals.discard(proposal_key)


def unconditional_change(operator: str, source: str, action: Action) -> Change:
    """Return a change that a controller proposes itself, without an edit version to check."""
    return Change(
        change_id=new_id(),
        operator=operator,
        source=source,
        at_ms=wall_clock_ms(),
        edit_version=ANY_VERSION,
        action=action,
    )


@singledispatch
def handle_request(msg: object, controller: Controller, caller: Caller) -> object:
    """Handle a request, dispatching on its message class; returns the reply."""
    raise ProtocolError(error_texts.MESSAGE_UNEXPECTED.format(name=type(msg).__name__))


@handle_request.register
def _handle_vote(msg: VoteRequest, controller: Controller, caller: Caller) -> object:
    return controller.replica.on_vote_request(msg, boot_time_s())


@handle_request.register
def _handle_append(msg: AppendRequest, controller: Controller, caller: Caller) -> object:
    return controller.replica.on_append_request(msg, boot_time_s())


@handle_request.register
def _handle_install(msg: InstallRequest, controller: Controller, caller: Caller) -> object:
    return controller.replica.on_install_request(msg, boot_time_s())


@handle_request.register
def _handle_identify(msg: IdentifyRequest, controller: Controller, caller: Caller) -> object:
    return _require_formation(controller).identify()


@handle_request.register
def _handle_found(msg: FoundRequest, controller: Controller, caller: Caller) -> object:
    controller.replica.bootstrap(msg.membership)
    return Done()


@handle_request.register
def _handle_join(msg: JoinRequest, controller: Controller, caller: Caller) -> object:
    return _require_formation(controller).add_learner(msg.member, boot_time_s())


def _require_formation(controller: Controller) -> Formation:
    if controller.formation is None:
        raise ProtocolError(error_texts.MESSAGE_UNEXPECTED.format(name="JoinRequest"))
    return controller.formation


@handle_request.register
def _handle_agents(msg: AgentList, controller: Controller, caller: Caller) -> object:
    controller.directory.offer(msg.notices, boot_time_s())
    return Done()


@handle_request.register
def _handle_read_catalogue(msg: ReadCatalogue, controller: Controller, caller: Caller) -> object:
    return CatalogueReply(catalogue=controller.reader.read_as_leader(boot_time_s()))


@handle_request.register
def _handle_propose(msg: ProposeChange, controller: Controller, caller: Caller) -> object:
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
    return ChangeReply(outcome=controller.proposer.submit(change, caller.orders_expire))


@handle_request.register
def _handle_forward_change(msg: ForwardChange, controller: Controller, caller: Caller) -> object:
    return ChangeReply(outcome=controller.proposer.submit_forwarded(msg))


@handle_request.register
def _handle_forward_announcement(
    msg: ForwardAnnouncement, controller: Controller, caller: Caller
) -> object:
    if controller.replica.role is Role.LEADER:
        controller.leases.renew(msg.name, msg.announcement, boot_time_s())
    return Done()


@handle_request.register
def _handle_state(msg: StateRequest, controller: Controller, caller: Caller) -> object:
    with controller.replica.changed:
        return StateReply(state=controller.replica.machine.state)


@handle_request.register
def _handle_audit(msg: AuditRequest, controller: Controller, caller: Caller) -> object:
    with controller.replica.changed:
        return AuditReply(records=controller.replica.machine.search_audit(msg))


@handle_request.register
def _handle_bootstrap(msg: BootstrapRequest, controller: Controller, caller: Caller) -> object:
    controller.replica.bootstrap(msg.membership)
    _log.info("bootstrapped", operator=caller.name)
    return Done()


@handle_request.register
def _handle_membership(msg: MembershipRequest, controller: Controller, caller: Caller) -> object:
    fut = controller.replica.propose_membership(
        msg.verb, msg.member, boot_time_s(), caller.orders_expire
    )
    await_commit(fut)
    _log.info("membership_changed", verb=msg.verb, member=msg.member.name, operator=caller.name)
    return Done()


@handle_request.register
def _handle_status(msg: StatusRequest, controller: Controller, caller: Caller) -> object:
    now = boot_time_s()
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
