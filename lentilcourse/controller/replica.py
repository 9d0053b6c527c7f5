"""One replica of the replicated log.

The algorithm is Raft (D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
Algorithm", 2014; pre-vote and single-server membership changes from Ongaro's dissertation,
2014). Where it differs from the sources:

- A replica has the identity of its data folder. A replica whose folder was lost has a new
  identity and cannot answer for the old one.
- A replica whose log was damaged neither votes nor campaigns until it holds everything that
  a leader has committed in the leader's own term.
- A leader that has not heard from a quorum for an election timeout steps down.

The methods take the present time (monotonic seconds) and may be driven by any transport;
`replication` drives them over streams, one task for each peer.
"""

from __future__ import annotations

import random
import threading
from concurrent.futures import Future
from typing import Final, TypeAlias

from lentilcourse import error_texts
from lentilcourse.actions import Change, Outcome, change_size
from lentilcourse.clocks import MS_PER_S
from lentilcourse.controller.log_store import LogStore, Snapshot, Vote
from lentilcourse.controller.machine import CatalogueMachine
from lentilcourse.controller.progress import PeerProgress, PeerView, Proposal, Role
from lentilcourse.controller.quorum import changed_membership, committed_index, quorum_size
from lentilcourse.errors import (
    ChangeRefusedError,
    NotLeaderError,
    StorageError,
    WrongReplicaError,
)
from lentilcourse.logs import get_logger
from lentilcourse.messages.consensus import (
    AppendReply,
    AppendRequest,
    InstallRequest,
    LogEntry,
    Member,
    Membership,
    VoteReply,
    VoteRequest,
)

MAX_BATCH_ENTRIES: Final = 256
MAX_BATCH_BYTES: Final = 1024 * 1024
"""Bytes of documents after which a request takes no more entries: one must be taken within the
time of a call to a peer."""
HEARTBEATS_PER_TIMEOUT: Final = 6
PRE_VOTE_PART: Final = 0.25
"""Shortest pause between pre-votes as a part of the election timeout: several round trips."""
MAX_LOG_BYTES: Final = 4 * 1024 * 1024
"""Size of the log at which a snapshot is written: log, copy and snapshot fit a small disk."""

PeerRequest: TypeAlias = VoteRequest | AppendRequest | InstallRequest

_log = get_logger(__name__)


class Replica:
    """One member of the group; all methods may be called from any task.

    Attributes:
        changed: notified when role, log, commit index or applied state change.
        role: what this replica is now.
        leader_id: leader of the current term, "" while unknown.
        commit_index: last entry known to be committed.
    """

    def __init__(
        self,
        *,
        store: LogStore,
        machine: CatalogueMachine,
        election_timeout_s: float,
        snapshot_records: int,
        group_commit: bool,
        rng: random.Random,
        now: float,
    ) -> None:
        self.changed = threading.Condition(threading.RLock())
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self._store = store
        self._machine = machine
        self._election_timeout_s = election_timeout_s
        self._snapshot_records = snapshot_records
        self._group_commit = group_commit
        self._rng = rng
        self._peers: dict[str, PeerProgress] = {}
        self._votes: set[str] = set()
        self._leader_contact = float("-inf")
        self._leader_age_s = float("inf")
        self._leader_since = float("-inf")
        self._proposals: list[Proposal] = []
        self._proposals_lock = threading.Lock()
        self.proposals_waiting = threading.Event()
        self._waiting: dict[int, tuple[int, Future[Outcome | None]]] = {}
        self.commit_index = store.snapshot.last_index
        self._applied_index = store.snapshot.last_index
        if store.snapshot.image:
            machine.restore(store.snapshot.image)
        self._election_due = now + self._pre_vote_delay()

    # Views.

    @property
    def replica_id(self) -> str:
        """Identity of this replica."""
        return self._store.replica_id

    @property
    def term(self) -> int:
        """Current term."""
        return self._store.vote.term

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log."""
        return self._store.last_index

    @property
    def damaged(self) -> bool:
        """Whether synced data was lost and not yet given back."""
        return self._store.damaged

    @property
    def machine(self) -> CatalogueMachine:
        """The state machine; read it while holding `changed`."""
        return self._machine

    def membership(self) -> Membership:
        """Return the membership in force at this replica."""
        with self.changed:
            return self._store.membership()

    def leader(self) -> Member | None:
        """Return the leader of the current term, if it is known."""
        with self.changed:
            return self._store.membership().find(self.leader_id) if self.leader_id else None

    def freshness_s(self, now: float) -> float:
        """Return how long ago a quorum last confirmed what this replica serves."""
        with self.changed:
            if self.role is Role.LEADER:
                return max(0.0, now - self._quorum_contact(now))
            return max(0.0, now - self._leader_contact) + self._leader_age_s

    # Time.

    def tick(self, now: float) -> None:
        """Start an election, or step down, when a timeout has passed."""
        with self.changed:
            if self.role is Role.LEADER:
                if now - self._quorum_contact(now) > self._election_timeout_s:
                    _log.warning("leader_lost_quorum", term=self.term)
                    self._become_follower(now)
                return
            if now >= self._election_due:
                self._start_pre_vote(now)

    # Group set-up and proposals.

    def bootstrap(self, membership: Membership) -> None:
        """Make an empty replica the first member of a group."""
        with self.changed:
            if self._store.last_index > 0:
                if self._store.entries_from(1, 1) and self._store.membership() == membership:
                    return
                text = error_texts.ALREADY_BOOTSTRAPPED.format(replica_id=self.replica_id)
                raise ChangeRefusedError(text)
            self._store.append([LogEntry(index=1, term=0, membership=membership)])
            self.changed.notify_all()

    def propose(self, change: Change) -> Future[Outcome | None]:
        """Queue a change for the log; the future ends when it is applied or given up."""
        return self._queue(Proposal(change=change, membership=None, fut=Future()))

    def propose_membership(self, verb: str, member: Member, now: float) -> Future[Outcome | None]:
        """Queue a change of one member; raises `ChangeRefusedError` when it is not safe."""
        with self.changed:
            self._require_leader()
            self._require_quiet_membership()
            wanted = changed_membership(self._store.membership(), verb, member)
            self._require_safe_membership(verb, member, wanted, now)
            proposal = Proposal(change=None, membership=wanted, fut=Future())
        return self._queue(proposal)

    def write_proposals(self, now: float) -> None:
        """Append queued proposals to the log with one sync, as the leader."""
        with self.changed:
            batch = self._take_proposals()
            if self.role is not Role.LEADER:
                _fail(batch, NotLeaderError(error_texts.NOT_LEADER))
                return
            entries = [self._entry(proposal, offset) for offset, proposal in enumerate(batch, 1)]
            try:
                self._store.append(entries)
            except StorageError as exc:
                _log.error("log_write_failed", error=str(exc))
                _fail(batch, exc)
                self._become_follower(now)
                return
            for entry, proposal in zip(entries, batch, strict=True):
                self._waiting[entry.index] = (entry.term, proposal.fut)
            self._sync_peers(now)
            self._advance_commit(now)
            self.changed.notify_all()

    def wait_confirmed(self, asked: float, timeout_s: float) -> bool:
        """Wait until a quorum has confirmed after `asked` that this replica leads.

        What is applied here then holds every change that was acknowledged before `asked`.
        Returns False when it is not the leader or the confirmation is late.
        """
        with self.changed:
            for progress in self._peers.values():
                progress.sent = float("-inf")
            self.changed.notify_all()
            self.changed.wait_for(
                lambda: self.role is not Role.LEADER or self._confirmed_after(asked),
                timeout=timeout_s,
            )
            return self.role is Role.LEADER and self._confirmed_after(asked)

    def _confirmed_after(self, asked: float) -> bool:
        in_term = self._store.term_at(self.commit_index) == self.term
        alone = len(self._store.membership().voters()) == 1
        return in_term and (alone or self._quorum_contact(asked) >= asked)

    def peer_views(self, now: float) -> tuple[PeerView, ...]:
        """Return, as the leader, what is known of each member; empty at another replica."""
        with self.changed:
            if self.role is not Role.LEADER:
                return ()
            members = self._store.membership().members
            return tuple(self._peer_view(member, now) for member in members)

    def _peer_view(self, member: Member, now: float) -> PeerView:
        progress = self._peers.get(member.replica_id)
        if progress is None:
            return PeerView(member=member, silence_s=0.0, caught_up=self._is_self(member))
        contact = max(progress.contact, progress.known_since)
        caught_up = progress.match_index >= self.commit_index
        return PeerView(member=member, silence_s=now - contact, caught_up=caught_up)

    def _is_self(self, member: Member) -> bool:
        return member.replica_id == self.replica_id

    # Requests of peers.

    def on_vote_request(self, req: VoteRequest, now: float) -> VoteReply:
        """Decide on a candidate's request."""
        with self.changed:
            if not self._may_vote(req, now):
                return VoteReply(term=self.term, granted=False)
            if req.pre_vote:
                return VoteReply(term=self.term, granted=req.term > self.term)
            if req.term > self.term:
                self._adopt_term(req.term, now)
            vote = self._store.vote
            granted = req.term == vote.term and vote.candidate_id in ("", req.candidate_id)
            if granted:
                self._store.save_vote(Vote(term=req.term, candidate_id=req.candidate_id))
                self._election_due = now + self._election_delay()
            return VoteReply(term=self.term, granted=granted)

    def on_append_request(self, req: AppendRequest, now: float) -> AppendReply:
        """Append a leader's entries and answer once they are synced."""
        with self.changed:
            self._require_receiver(req.receiver_id)
            if not self._follow(req.term, req.leader_id, now):
                return self._append_reply(False, 0)
            self._leader_age_s = req.quorum_age_ms / MS_PER_S
            agrees = self._store.term_at(req.previous_index) == req.previous_term
            if not agrees and req.previous_index > self._store.snapshot.last_index:
                hint = min(self._store.last_index, req.previous_index - 1)
                return self._append_reply(False, hint)
            self._append_new(req.entries)
            match_index = req.previous_index + len(req.entries)
            self._commit_to(min(req.commit_index, match_index), now)
            self._clear_damage(req, match_index)
            self.changed.notify_all()
            return self._append_reply(True, match_index)

    def on_install_request(self, req: InstallRequest, now: float) -> AppendReply:
        """Replace the log by a leader's snapshot."""
        with self.changed:
            self._require_receiver(req.receiver_id)
            if not self._follow(req.term, req.leader_id, now):
                return self._append_reply(False, 0)
            if req.last_index > self.commit_index:
                self._store.install(
                    Snapshot(
                        last_index=req.last_index,
                        last_term=req.last_term,
                        membership=req.membership,
                        image=req.image,
                    )
                )
                self._machine.restore(req.image)
                self.commit_index = req.last_index
                self._applied_index = req.last_index
                self.changed.notify_all()
            return self._append_reply(True, req.last_index)

    # Requests to peers.

    def next_request(self, peer_id: str, now: float) -> PeerRequest | None:
        """Return what is due to be sent to a peer now, None if nothing is."""
        with self.changed:
            progress = self._peers.get(peer_id)
            if progress is None:
                return None
            if self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
                return self._next_vote_request(peer_id, progress)
            if self.role is not Role.LEADER:
                return None
            heartbeat_due = now - progress.sent >= self.heartbeat_interval_s
            if progress.next_index > self._store.last_index and not heartbeat_due:
                return None
            progress.sent = now
            return self._next_log_request(peer_id, progress, now)

    def on_vote_reply(self, peer_id: str, req: VoteRequest, reply: VoteReply, now: float) -> None:
        """Count a vote."""
        with self.changed:
            if reply.term > self.term and not (req.pre_vote and reply.granted):
                self._adopt_term(reply.term, now)
                return
            wanted = Role.PRE_CANDIDATE if req.pre_vote else Role.CANDIDATE
            due_term = self.term + 1 if req.pre_vote else self.term
            if not reply.granted or self.role is not wanted or req.term != due_term:
                return
            self._votes.add(peer_id)
            self._count_votes(now)

    def on_append_reply(
        self,
        peer_id: str,
        req: AppendRequest | InstallRequest,
        reply: AppendReply,
        sent: float,
        now: float,
    ) -> None:
        """Advance a peer, and with it the commit index."""
        with self.changed:
            if reply.term > self.term:
                self._adopt_term(reply.term, now)
                return
            progress = self._peers.get(peer_id)
            stale = self.role is not Role.LEADER or req.term != self.term
            if progress is None or stale or reply.term != self.term:
                return
            progress.contact = max(progress.contact, sent)
            if reply.success:
                progress.match_index = max(progress.match_index, reply.match_index)
                progress.next_index = max(progress.match_index + 1, progress.next_index)
                self._advance_commit(now)
            else:
                behind = min(progress.next_index - 1, reply.match_index + 1)
                progress.next_index = max(1, behind)
            self.changed.notify_all()

    def on_peer_lost(self, peer_id: str, now: float) -> None:
        """Forget what was sent to a peer and not answered."""
        with self.changed:
            progress = self._peers.get(peer_id)
            if progress is not None:
                progress.next_index = progress.match_index + 1
                progress.asked_term = 0

    @property
    def heartbeat_interval_s(self) -> float:
        """Longest pause between two requests to a peer."""
        return self._election_timeout_s / HEARTBEATS_PER_TIMEOUT

    # Proposals.

    def _queue(self, proposal: Proposal) -> Future[Outcome | None]:
        with self._proposals_lock:
            self._proposals.append(proposal)
        self.proposals_waiting.set()
        return proposal.fut

    def _take_proposals(self) -> list[Proposal]:
        with self._proposals_lock:
            count = len(self._proposals) if self._group_commit else 1
            batch = self._proposals[:count]
            del self._proposals[:count]
            if not self._proposals:
                self.proposals_waiting.clear()
        return batch

    def _entry(self, proposal: Proposal, offset: int) -> LogEntry:
        return LogEntry(
            index=self._store.last_index + offset,
            term=self.term,
            change=proposal.change,
            membership=proposal.membership,
        )

    def _require_leader(self) -> None:
        if self.role is not Role.LEADER:
            raise NotLeaderError(error_texts.NOT_LEADER)

    def _require_quiet_membership(self) -> None:
        in_term = self._store.term_at(self.commit_index) == self.term
        if self._store.membership_index() > self.commit_index or not in_term:
            raise ChangeRefusedError(error_texts.MEMBERSHIP_BUSY)

    def _require_safe_membership(
        self, verb: str, member: Member, wanted: Membership, now: float
    ) -> None:
        if verb in ("promote", "replace"):
            progress = self._peers.get(member.replica_id)
            if progress is None or progress.match_index < self.commit_index:
                raise ChangeRefusedError(error_texts.LEARNER_BEHIND.format(name=member.name))
        voters = wanted.voters()
        live = [voter for voter in voters if self._is_live(voter.replica_id, now)]
        if len(live) < quorum_size(len(voters)):
            raise ChangeRefusedError(error_texts.MEMBERSHIP_UNSAFE)

    def _is_live(self, replica_id: str, now: float) -> bool:
        if replica_id == self.replica_id:
            return True
        progress = self._peers.get(replica_id)
        return progress is not None and now - progress.contact <= self._election_timeout_s

    # Elections.

    def _election_delay(self) -> float:
        return self._election_timeout_s * (1.0 + self._rng.random())

    def _pre_vote_delay(self) -> float:
        """Return the pause before a pre-vote where no leader is known.

        A pre-vote disturbs nobody: replicas that hear a leader refuse it.
        """
        return self._election_timeout_s * PRE_VOTE_PART * (1.0 + self._rng.random())

    def _may_campaign(self) -> bool:
        own = self._store.membership().find(self.replica_id)
        return own is not None and own.voter and not self._store.damaged

    def _start_pre_vote(self, now: float) -> None:
        self._election_due = now + self._pre_vote_delay()
        if not self._may_campaign():
            return
        self.role = Role.PRE_CANDIDATE
        self.leader_id = ""
        self._begin_vote(now)
        self._count_votes(now)

    def _start_vote(self, now: float) -> None:
        self._store.save_vote(Vote(term=self.term + 1, candidate_id=self.replica_id))
        self.role = Role.CANDIDATE
        self._election_due = now + self._election_delay()
        self._begin_vote(now)
        self._count_votes(now)

    def _begin_vote(self, now: float) -> None:
        self._votes = {self.replica_id}
        self._sync_peers(now)
        for progress in self._peers.values():
            progress.asked_term = 0
        self.changed.notify_all()

    def _count_votes(self, now: float) -> None:
        voters = {member.replica_id for member in self._store.membership().voters()}
        if len(self._votes & voters) < quorum_size(len(voters)):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_vote(now)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader_id = self.replica_id
        self._leader_since = now
        self._peers = {}
        self._sync_peers(now)
        _log.info("leader_elected", term=self.term, replica=self.replica_id)
        self._queue(Proposal(change=None, membership=None, fut=Future()))
        self.changed.notify_all()

    def _become_follower(self, now: float) -> None:
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self._leader_contact = float("-inf")
        self._election_due = now + self._election_delay()
        self.changed.notify_all()

    def _adopt_term(self, term: int, now: float) -> None:
        if term > self.term:
            self._store.save_vote(Vote(term=term))
        self._become_follower(now)

    def _may_vote(self, req: VoteRequest, now: float) -> bool:
        if req.receiver_id != self.replica_id or self._store.damaged:
            return False
        if not self._store.membership().members:
            return False
        if self.role is Role.LEADER or now - self._leader_contact < self._election_timeout_s:
            return False
        own = (self._store.last_term, self._store.last_index)
        return (req.last_term, req.last_index) >= own

    def _next_vote_request(self, peer_id: str, progress: PeerProgress) -> VoteRequest | None:
        pre_vote = self.role is Role.PRE_CANDIDATE
        term = self.term + 1 if pre_vote else self.term
        asked = -term if pre_vote else term
        member = self._store.membership().find(peer_id)
        if progress.asked_term == asked or member is None or not member.voter:
            return None
        progress.asked_term = asked
        return VoteRequest(
            term=term,
            candidate_id=self.replica_id,
            receiver_id=peer_id,
            last_index=self._store.last_index,
            last_term=self._store.last_term,
            pre_vote=pre_vote,
        )

    # Replication as the leader.

    def _sync_peers(self, now: float) -> None:
        members = self._store.membership().members
        others = {each.replica_id for each in members} - {self.replica_id}
        for peer_id in others - self._peers.keys():
            self._peers[peer_id] = PeerProgress(
                next_index=self._store.last_index + 1, known_since=now
            )
        for peer_id in self._peers.keys() - others:
            del self._peers[peer_id]

    def _quorum_contact(self, now: float) -> float:
        voters = self._store.membership().voters()
        contacts = [self._contact_of(voter.replica_id, now) for voter in voters]
        contacts.sort(reverse=True)
        return contacts[quorum_size(len(contacts)) - 1] if contacts else now

    def _contact_of(self, replica_id: str, now: float) -> float:
        if replica_id == self.replica_id:
            return now
        progress = self._peers.get(replica_id)
        contact = progress.contact if progress else float("-inf")
        return max(contact, self._leader_since)

    def _next_log_request(
        self, peer_id: str, progress: PeerProgress, now: float
    ) -> AppendRequest | InstallRequest:
        previous = progress.next_index - 1
        previous_term = self._store.term_at(previous)
        if previous_term is None:
            return self._install_request(peer_id)
        entries = bounded_batch(self._store.entries_from(progress.next_index, MAX_BATCH_ENTRIES))
        return AppendRequest(
            term=self.term,
            leader_id=self.replica_id,
            receiver_id=peer_id,
            previous_index=previous,
            previous_term=previous_term,
            entries=entries,
            commit_index=self.commit_index,
            quorum_age_ms=int((now - self._quorum_contact(now)) * MS_PER_S),
        )

    def _install_request(self, peer_id: str) -> InstallRequest:
        snapshot = self._store.snapshot
        return InstallRequest(
            term=self.term,
            leader_id=self.replica_id,
            receiver_id=peer_id,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            membership=snapshot.membership,
            image=snapshot.image,
        )

    def _advance_commit(self, now: float) -> None:
        voters = self._store.membership().voters()
        matches = [self._match_of(voter.replica_id) for voter in voters]
        index = committed_index(matches)
        if index > self.commit_index and self._store.term_at(index) == self.term:
            self._commit_to(index, now)

    def _match_of(self, replica_id: str) -> int:
        if replica_id == self.replica_id:
            return self._store.last_index
        progress = self._peers.get(replica_id)
        return progress.match_index if progress else 0

    # Following a leader.

    def _require_receiver(self, receiver_id: str) -> None:
        """Refuse a request for a former data folder: an answer would show that one alive."""
        if receiver_id != self.replica_id:
            raise WrongReplicaError(error_texts.WRONG_REPLICA.format(replica_id=receiver_id))

    def _follow(self, term: int, leader_id: str, now: float) -> bool:
        if term < self.term:
            return False
        if term > self.term or self.role is not Role.FOLLOWER:
            self._adopt_term(term, now)
        self.leader_id = leader_id
        self._leader_contact = now
        self._election_due = now + self._election_delay()
        return True

    def _append_reply(self, success: bool, match_index: int) -> AppendReply:
        return AppendReply(term=self.term, success=success, match_index=match_index)

    def _append_new(self, entries: tuple[LogEntry, ...]) -> None:
        new = [entry for entry in entries if entry.index > self._store.snapshot.last_index]
        while new and self._store.term_at(new[0].index) == new[0].term:
            new.pop(0)
        if not new:
            return
        if new[0].index <= self._store.last_index:
            self._store.truncate_from(new[0].index)
        self._store.append(new)

    def _clear_damage(self, req: AppendRequest, match_index: int) -> None:
        whole = match_index >= req.commit_index
        in_term = self._store.term_at(req.commit_index) == req.term
        if self._store.damaged and whole and in_term:
            self._store.clear_damage()
            _log.info("damage_repaired", replica=self.replica_id)

    # Commit and apply.

    def _commit_to(self, index: int, now: float) -> None:
        if index <= self.commit_index:
            return
        self.commit_index = index
        for entry in self._store.entries_from(self._applied_index + 1, index - self._applied_index):
            self._apply(entry)
        self._finish_lost_proposals()
        self._compact()
        self._leave_if_removed(now)
        self.changed.notify_all()

    def _apply(self, entry: LogEntry) -> None:
        outcome = self._machine.apply(entry.change) if entry.change is not None else None
        self._applied_index = entry.index
        term, fut = self._waiting.pop(entry.index, (0, None))
        if fut is None:
            return
        if term == entry.term:
            fut.set_result(outcome)
        else:
            fut.set_exception(NotLeaderError(error_texts.NOT_LEADER))

    def _finish_lost_proposals(self) -> None:
        for index in [each for each in self._waiting if each <= self._applied_index]:
            _, fut = self._waiting.pop(index)
            fut.set_exception(NotLeaderError(error_texts.NOT_LEADER))

    def _compact(self) -> None:
        small = self._store.log_bytes < MAX_LOG_BYTES
        if self._store.record_count < self._snapshot_records and small:
            return
        self._store.install(
            Snapshot(
                last_index=self._applied_index,
                last_term=self._store.term_at(self._applied_index) or 0,
                membership=self._committed_membership(),
                image=self._machine.image(),
            )
        )

    def _committed_membership(self) -> Membership:
        start = self._store.snapshot.last_index + 1
        applied = self._store.entries_from(start, self._applied_index - start + 1)
        for entry in reversed(applied):
            if entry.membership is not None:
                return entry.membership
        return self._store.snapshot.membership

    def _leave_if_removed(self, now: float) -> None:
        own = self._store.membership().find(self.replica_id)
        removed = own is None or not own.voter
        if self.role is Role.LEADER and removed:
            self._become_follower(now)


def bounded_batch(entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
    """Return the first entries that fit one request; at least one where there is any."""
    size = 0
    for count, entry in enumerate(entries, 1):
        size += change_size(entry.change) if entry.change is not None else 0
        if size >= MAX_BATCH_BYTES:
            return entries[:count]
    return entries


def _fail(batch: list[Proposal], exc: Exception) -> None:
    for proposal in batch:
        proposal.fut.set_exception(exc)
